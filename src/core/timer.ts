/** Handle of a started timer. */
export interface Timer {
    /** Cancels the timer; does nothing after it has fired. */
    close(): void;
}
