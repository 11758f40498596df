/**
 * Retry budget of each service.
 *
 * @example
 * ```ts
 * const budget = new TokenRetryBudget(clock);
 * budget.add("payments", 10);
 * const allowed = budget.take("payments");
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { RetryBudget } from "./retry_budget.ts";

interface Bucket {
    tokens: number;
    /** Monotonic milliseconds of the last decay. */
    updatedAtMs: number;
}

/** Time in milliseconds in which unused tokens decay to 1/e, so that only recent first attempts count. */
const decayMs = 10_000;
/** Maximum number of tokens of a service; limits the burst of retries that follows a quiet period. */
const maxTokens = 100;

/** Token bucket: a first attempt adds a fraction of a token, a retry takes a whole one. Starts empty. */
export class TokenRetryBudget implements RetryBudget {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly clock: Clock) {}

    add(service: string, percent: number): void {
        const bucket = this.update(service);
        bucket.tokens = Math.min(maxTokens, bucket.tokens + percent / 100);
    }

    has(service: string): boolean {
        // The margin keeps ten additions of 0.1, whose sum is slightly below 1, worth one token.
        return this.update(service).tokens >= 1 - 1e-9;
    }

    take(service: string): boolean {
        if (!this.has(service)) {
            return false;
        }
        this.update(service).tokens -= 1;
        return true;
    }

    addRepeat(service: string): void {
        this.update(service).tokens -= 1;
    }

    release(service: string): void {
        this.update(service).tokens += 1;
    }

    private update(service: string): Bucket {
        const nowMs = this.clock.getMonotonicMs();
        const bucket = this.buckets.get(service) ?? { tokens: 0, updatedAtMs: nowMs };
        bucket.tokens *= Math.exp((bucket.updatedAtMs - nowMs) / decayMs);
        bucket.updatedAtMs = nowMs;
        this.buckets.set(service, bucket);
        return bucket;
    }
}
