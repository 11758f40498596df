/** The right to use one slot of an upstream. */
export interface SlotPermit {
    /**
     * Gives the slot back; further calls do nothing. `serviceMs` is undefined when nothing was sent; `shed` is true
     * when the upstream declared that it did not run the request.
     */
    close(serviceMs: number | undefined, shed?: boolean): void;
}
