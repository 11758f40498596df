/** Permit to use one slot of an upstream. */
export interface SlotPermit {
    /**
     * Releases the slot; further calls have no effect. `serviceMs` is undefined when nothing was sent; `shed`
     * is true when the upstream declared that it did not run the request.
     */
    close(serviceMs: number | undefined, shed?: boolean): void;
}
