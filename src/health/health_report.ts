/** Score of an upstream that one daemon sends to another. */
export interface HealthReport {
    readonly upstreamId: string;
    readonly service: string;
    /** Nats, 0 or more. */
    readonly score: number;
    /**
     * Milliseconds since the owner computed the score. An age is sent because clocks of different instances
     * are never compared.
     */
    readonly ageMs: number;
    /** Milliseconds for which the score has been raised when the owner computed it; 0 when it is not. */
    readonly raisedForMs: number;
}
