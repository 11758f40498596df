/** Disturbances of a run with removed keys. */
export const RevocationFault = {
    StoreDown: "store-down",
    StoreSlow: "store-slow",
    StoreCut: "store-cut",
    Freeze: "freeze",
    Restart: "restart",
    PeersCut: "peers-cut",
    Lossy: "lossy",
    ClockStep: "clock-step",
} as const;

export type RevocationFault = (typeof RevocationFault)[keyof typeof RevocationFault];
