/** Marks one request as in flight until it is closed. */
export interface RequestLease {
    /** Ends the request; further calls do nothing. */
    close(): void;
}
