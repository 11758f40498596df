/** Measurements of one run. Times are milliseconds after the event. */
export interface RunResult {
    /** From here on no sender selected a faulty upstream for ordinary work during one second. */
    readonly trafficEndMs: number | undefined;
    /** First and last ejection of a faulty upstream, over the senders. */
    readonly firstEjectionMs: number | undefined;
    /** Ejections of healthy upstreams, counted for each sender. */
    readonly falseEjections: number;
    /** Lowest number of upstreams in the rotation of a sender. */
    readonly minInRotation: number;
    /** Ordinary requests sent to faulty upstreams after the event. */
    readonly faultyRequests: number;
    readonly returns: number;
    /** Share of the requests after the event that were answered as expected. */
    readonly expectedAnswerShare: number;
}
