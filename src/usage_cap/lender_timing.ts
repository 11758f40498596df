/** How a place among the lenders passes from one daemon to another without a message. */
export const lenderTiming = {
    /** Milliseconds since the last contact with the store after which a daemon stops lending. */
    maxListAgeMs: 5_000,
    /**
     * Milliseconds after which a daemon with a new place lends. A list may be older than the contact that
     * confirms it by the longest watch of the store and the time to notice that it delivers nothing.
     */
    placeDelayMs: 8_000,
    /**
     * Milliseconds since the last contact with the store after which a daemon uses no floor. Long, because a
     * store that is away must not stop all requests.
     */
    maxFloorAgeMs: 600_000,
    /**
     * Milliseconds for which the largest list divides the floor after a smaller one replaced it: daemons that
     * left the list but still run divide by it too.
     */
    floorListMs: 610_000,
} as const;
