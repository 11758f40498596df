/** What a beacon is sent for; the numbers are those of the message. */
export const BeaconKind = {
    /** States that have changed; nothing is sent back. */
    News: 0,
    /** Asks for an answer. */
    Probe: 1,
    Answer: 2,
} as const;

export type BeaconKind = (typeof BeaconKind)[keyof typeof BeaconKind];
