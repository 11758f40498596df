/** Decision about one request under the usage cap of its organisation. */
export interface UsageVerdict {
    readonly isAllowed: boolean;
    /** Requests that this daemon may still take now. */
    readonly remaining: number;
    /** Milliseconds after which the cap is expected to allow the request; 0 when it is allowed now. */
    readonly retryAfterMs: number;
}
