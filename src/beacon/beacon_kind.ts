/** Purpose of a beacon; the numbers are used in the message. */
export const BeaconKind = {
    /** Reports of condition changes; nothing is sent back. */
    Update: 0,
    /** Requests an acknowledgement. */
    Probe: 1,
    Ack: 2,
} as const;

export type BeaconKind = (typeof BeaconKind)[keyof typeof BeaconKind];
