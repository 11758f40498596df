/** Gives what an owner believes about its upstreams. */
export interface FaultProbabilityReader {
    /** Probability that the upstream has a fault. */
    getFaultProbability(upstreamId: string): number;
}
