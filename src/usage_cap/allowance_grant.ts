/** Answer of a lender to an ask. */
export interface AllowanceGrant {
    /** Number of the ask. */
    readonly id: number;
    /** Requests that the daemon may take; usable for a fixed time after the ask was sent. */
    readonly amount: number;
    /** Milliseconds for which the lender need not be asked again; 0 when it granted the whole amount. */
    readonly emptyMs: number;
}
