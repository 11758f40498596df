/**
 * Reference for one upstream: the median of the scores of the service's other upstreams in rotation, in nats. A
 * dependency that fails for all upstreams raises all scores; only what exceeds the reference calls for ejection.
 */
export function computeReferenceScore(otherScores: readonly number[]): number {
    const sorted = [...otherScores].sort((left, right) => left - right);
    return sorted[sorted.length >> 1] ?? 0;
}
