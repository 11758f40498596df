/** Durations by bucket of ascending value. */
interface DurationCounts {
    readonly buckets: number;
    /** Attempts that were answered after a duration of the bucket. */
    countAnswered(bucket: number): number;
    /** Attempts that were given up after a duration of the bucket. */
    countUnanswered(bucket: number): number;
}

/**
 * Bucket of a quantile of the time to an answer, by the product-limit estimator (Kaplan and Meier, 1958): an
 * attempt that was given up counts as longer than its duration, and not as an answer or a failure. When the
 * quantile is longer than all answers, the last bucket that holds an attempt. Undefined without attempts.
 */
export function computeCensoredQuantile(counts: DurationCounts, quantile: number): number | undefined {
    let atRisk = 0;
    let lastBucket: number | undefined;
    for (let bucket = 0; bucket < counts.buckets; bucket += 1) {
        const count = counts.countAnswered(bucket) + counts.countUnanswered(bucket);
        atRisk += count;
        lastBucket = count > 0 ? bucket : lastBucket;
    }
    let longerShare = 1;
    for (let bucket = 0; bucket < counts.buckets && atRisk > 0; bucket += 1) {
        const answered = counts.countAnswered(bucket);
        longerShare *= 1 - answered / atRisk;
        // The margin keeps products of fractions that are equal to the limit from missing it by rounding.
        if (answered > 0 && longerShare <= 1 - quantile + 1e-9) {
            return bucket;
        }
        atRisk -= answered + counts.countUnanswered(bucket);
    }
    return lastBucket;
}
