/** Division of the cap of one organisation between lenders and all daemons. */
export interface AllowanceLimits {
    /** Number of daemons that lend allowances. */
    readonly lenders: number;
    /** Requests per second that one lender may lend in the long run. */
    readonly lenderRate: number;
    /** Requests that one lender may lend at once beyond its rate. */
    readonly lenderBurst: number;
    /** Requests in each window that all daemons together may take without an allowance. */
    readonly floor: number;
}
