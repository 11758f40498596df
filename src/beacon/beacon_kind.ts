/** What a beacon is sent for; the numbers are those of the message. */
export const BeaconKind = {
    /** States that have changed; nothing is sent back. */
    Update: 0,
    /** Asks for an answer. */
    Probe: 1,
    Ack: 2,
} as const;

export type BeaconKind = (typeof BeaconKind)[keyof typeof BeaconKind];
