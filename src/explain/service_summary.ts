/** Requests of one service and kind. */
export interface ServiceSummary {
    readonly service: string;
    readonly idempotent: boolean;
    readonly requests: number;
    readonly served: number;
    /** Number of unserved requests by cause; the sum is `requests - served`. */
    readonly causes: Readonly<Record<string, number>>;
    readonly attempts: number;
    /** Attempts that an owner refused, by code. */
    readonly refusedAttempts: Readonly<Record<string, number>>;
    /** Age in milliseconds of the state by which upstreams were selected, at nine of ten attempts. */
    readonly stateAgeP90Ms: number;
}
