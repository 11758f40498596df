import { AnswerTimes } from "./answer_times.ts";

/** Distributions that are kept; each takes about 7 KB. */
const maxDistributions = 512;

/** Answer times by key. The distribution that was used least recently is removed when there are too many. */
export class AnswerTimeTable {
    private readonly distributions = new Map<string, AnswerTimes>();

    /** Distribution of the key, which is created when it is missing. */
    register(key: string, nowMs: number): AnswerTimes {
        const times = this.distributions.get(key) ?? new AnswerTimes(nowMs);
        // A map lists its keys in the order in which they were added, so the first one is the oldest.
        this.distributions.delete(key);
        this.distributions.set(key, times);
        const [oldestKey] = this.distributions.keys();
        if (this.distributions.size > maxDistributions && oldestKey !== undefined) {
            this.distributions.delete(oldestKey);
        }
        return times;
    }

    find(key: string): AnswerTimes | undefined {
        return this.distributions.get(key);
    }

    count(): number {
        return this.distributions.size;
    }
}
