/** What a lender lends at once. */
export interface AllowanceLoan {
    /** Whole requests. */
    readonly amount: number;
    /** Milliseconds for which the lender need not be asked again; 0 when it lent the whole amount. */
    readonly emptyMs: number;
}
