/** The right to use one slot of an upstream. */
export interface SlotLease {
    /** Gives the slot back; further calls do nothing. `serviceMs` is undefined when nothing was sent. */
    close(serviceMs: number | undefined): void;
}
