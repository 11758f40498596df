/** What the logs tell about one attempt of a request. */
interface AttemptRecord {
    readonly attempt: number;
    readonly upstream: string;
    readonly code: number;
    /** Probability of a fault of the upstream, as the entry daemon knew it. */
    readonly faultProbability: number;
    /** Age of that knowledge in milliseconds; negative when unknown. */
    readonly ageMs: number;
    /** Milliseconds since the epoch. */
    readonly atMs: number;
}

/** What the logs tell about one request. */
export interface RequestRecord {
    readonly requestId: string;
    service: string;
    idempotent: boolean;
    readonly attempts: AttemptRecord[];
    /** Why no further attempt was made; empty when no line says so. */
    stopReason: string;
    /** Status of the answer of an upstream; 0 when the caller got none. */
    status: number;
    /** Code of the failure; 0 when there was none. */
    code: number;
    ended: boolean;
}
