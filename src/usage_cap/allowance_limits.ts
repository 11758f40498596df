/** Division of the cap of one organisation between lenders and all daemons. */
export interface AllowanceLimits {
    /** Number of daemons that lend allowances. */
    readonly lenders: number;
    /** Requests that one lender may lend within `lentWindowMs`, not a whole number. */
    readonly lenderCapacity: number;
    /** The window of the cap and the life of an allowance, in milliseconds. */
    readonly lentWindowMs: number;
    /** Requests in each window that all daemons together may take without an allowance. */
    readonly floor: number;
}
