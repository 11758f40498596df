/** Fractions of bad results that a sequential test distinguishes. */
interface Options {
    /** Highest fraction of bad results of a healthy upstream. */
    readonly healthyShare: number;
    /** Fraction of bad results of a failing upstream. */
    readonly failingShare: number;
}

/**
 * One-sided CUSUM of the log-likelihood ratio of good and bad results. A run of the test starts at zero.
 * While the upstream is healthy, a run reaches the score `h` with a probability of at most `exp(-h)` (Ville's
 * inequality).
 */
export class CumulativeSum {
    private score = 0;
    private readonly badStep: number;
    private readonly goodStep: number;

    constructor(options: Options) {
        this.badStep = Math.log(options.failingShare / options.healthyShare);
        this.goodStep = Math.log((1 - options.failingShare) / (1 - options.healthyShare));
    }

    /** Adds one result; the score stays between 0 and `limit` nats. */
    add(bad: boolean, limit: number): void {
        this.set(this.score + (bad ? this.badStep : this.goodStep), limit);
    }

    set(score: number, limit: number): void {
        this.score = Math.min(limit, Math.max(0, score));
    }

    /** Score in nats. */
    get(): number {
        return this.score;
    }
}
