/** Request of a daemon for a part of the cap of an organisation. */
export interface AllowanceAsk {
    /** Repeated in the grant; unique among the asks of all processes of the daemon. */
    readonly id: number;
    readonly organisation: string;
    /** Requests that the daemon expects to take at once. */
    readonly amount: number;
}
