/** Measurements of one run. Times are milliseconds after the event. */
export interface RunResult {
    /** First time after which faulty upstreams got no ordinary request from any daemon for one second. */
    readonly trafficEndMs: number | undefined;
    /** First ejection of a faulty upstream by any entry daemon. */
    readonly firstEjectionMs: number | undefined;
    /** Ejections of healthy upstreams, counted for each entry daemon. */
    readonly falseEjections: number;
    /** Smallest number of upstreams in rotation at any entry daemon. */
    readonly minInRotation: number;
    /** Ordinary requests sent to faulty upstreams after the event. */
    readonly faultyRequests: number;
    readonly returns: number;
    /** Share of the requests after the event that were answered as expected. */
    readonly expectedAnswerShare: number;
}
