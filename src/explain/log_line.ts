/** One line of a daemon's log that concerns a request. */
export interface LogLine {
    /** Time of day in ISO 8601, by the clock of the daemon. */
    readonly time: string;
    readonly event: string;
    readonly daemon: string;
    readonly fields: Readonly<Record<string, unknown>>;
}
