/** Who answered a daemon that starts. */
export interface StartupReport {
    readonly platform: boolean;
    readonly peers: number;
    /** Version of the configuration that came into force. */
    readonly version: number;
}
