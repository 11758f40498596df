/** Limits of one service; those of the queue apply to each upstream. */
export interface LimitsConfig {
    readonly queueLength: number;
    /** Slots that long work never uses. */
    readonly reserveShort: number;
    /** Queueing time in milliseconds that the queue aims to stay below. */
    readonly targetWaitMs: number;
    /** Share of the queue in percent that one organisation may hold. */
    readonly organisationPercent: number;
    /** Retries in percent of first attempts. */
    readonly retryPercent: number;
    /** Requests in flight for the service at one entry daemon. */
    readonly entryConcurrency: number;
}
