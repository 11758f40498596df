/** Provides the fault probabilities that an owner estimates for its upstreams. */
export interface FaultProbabilityReader {
    /** Probability that the upstream has a fault. */
    getFaultProbability(upstreamId: string): number;
}
