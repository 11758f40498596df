/** Sources that replied to a starting daemon. */
export interface StartupReport {
    readonly platform: boolean;
    readonly peers: number;
    /** Version of the configuration that became active. */
    readonly version: number;
}
