/** Load and health of one upstream as its owner measures it; sent with each reply. */
export interface UpstreamState {
    readonly upstreamId: string;
    readonly slots: number;
    readonly running: number;
    readonly queuedShort: number;
    readonly queuedLong: number;
    /** Expected wait in milliseconds of new work of each class. */
    readonly waitShortMs: number;
    readonly waitLongMs: number;
    /** Score of the sequential test in nats, at least 0; grows with evidence of a fault. */
    readonly healthScore: number;
    readonly leaving: boolean;
    /** Probability that the upstream has a fault, as estimated by its owner. */
    readonly faultProbability: number;
}
