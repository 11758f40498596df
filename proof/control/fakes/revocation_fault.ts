/** Disturbances of a run with removed keys. */
export const RevocationFault = {
    StoreDown: "store-down",
    /** The store is away and comes back from an older copy. */
    StoreRestored: "store-restored",
    StoreSlow: "store-slow",
    StoreCut: "store-cut",
    Freeze: "freeze",
    Restart: "restart",
    PeersCut: "peers-cut",
    Lossy: "lossy",
    ClockStep: "clock-step",
} as const;

export type RevocationFault = (typeof RevocationFault)[keyof typeof RevocationFault];
