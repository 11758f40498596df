/** A versioned value of the platform's configuration service. */
export interface PlatformValue {
    readonly name: string;
    readonly version: number;
    readonly content: string;
}
