/** Options of one call to the platform's store. */
export interface StoreCallOptions {
    /** Aborts the call and closes its connection. */
    readonly signal?: AbortSignal;
    /** Called with the bytes of the answer that have arrived, each time that there are more. */
    readonly handleBytes?: (bytes: number) => void;
}
