/**
 * Recent times from sending an attempt to its answer.
 *
 * @example
 * ```ts
 * const times = new AnswerTimes(nowMs);
 * times.addAnswer(12.5, nowMs);
 * const lateMs = times.computeQuantileMs(0.95, nowMs);
 * ```
 *
 * @module
 */
import { Int16Histogram } from "hdr-histogram-js";
import { computeCensoredQuantile } from "./compute_censored_quantile.ts";

interface Generation {
    readonly answered: Int16Histogram;
    readonly unanswered: Int16Histogram;
}

/** Histograms count tenths of a millisecond, up to the longest deadline of a route, one minute. */
const unitsPerMs = 10;
const maxUnits = 600_000;
/** Buckets then differ by at most 6%, and a histogram has 272 of them in 544 bytes. */
const significantDigits = 1;
/** Largest count of a bucket of 16 bits. */
const maxCount = 32_767;
/** Milliseconds until a generation is replaced; the answers of the last one to two are kept. */
const generationMs = 15_000;
/** No quantile is computed from fewer answers: the next one would change it by more than its bucket. */
const minAnswers = 20;

/** Distribution of answer times over the last 15 to 30 s, in two generations of constant size. */
export class AnswerTimes {
    private readonly generations: [Generation, Generation] = [createGeneration(), createGeneration()];
    private startedAtMs: number;

    constructor(nowMs: number) {
        this.startedAtMs = nowMs;
    }

    /** Adds an attempt that was answered after `durationMs`. */
    addAnswer(durationMs: number, nowMs: number): void {
        this.update(nowMs);
        addDuration(this.generations[0].answered, durationMs);
    }

    /** Adds an attempt that was given up after `durationMs`. */
    addUnanswered(durationMs: number, nowMs: number): void {
        this.update(nowMs);
        addDuration(this.generations[0].unanswered, durationMs);
    }

    /** Milliseconds that the given share of answers does not exceed; undefined when too few are known. */
    computeQuantileMs(quantile: number, nowMs: number): number | undefined {
        this.update(nowMs);
        const [{ answered, unanswered }, older] = this.generations;
        if (answered.totalCount + older.answered.totalCount < minAnswers) {
            return undefined;
        }
        const bucket = computeCensoredQuantile({
            buckets: answered.countsArrayLength,
            countAnswered: index => answered.getCountAtIndex(index) + older.answered.getCountAtIndex(index),
            countUnanswered: index =>
                unanswered.getCountAtIndex(index) + older.unanswered.getCountAtIndex(index),
        }, quantile);
        return bucket === undefined ? undefined : answered.valueFromIndex(bucket + 1) / unitsPerMs;
    }

    private update(nowMs: number): void {
        if (nowMs - this.startedAtMs < generationMs) {
            return;
        }
        const [recent, older] = this.generations;
        older.answered.reset();
        older.unanswered.reset();
        if (nowMs - this.startedAtMs >= 2 * generationMs) {
            recent.answered.reset();
            recent.unanswered.reset();
        }
        this.generations[0] = older;
        this.generations[1] = recent;
        this.startedAtMs = nowMs;
    }
}

function createGeneration(): Generation {
    return {
        answered: new Int16Histogram(1, maxUnits, significantDigits),
        unanswered: new Int16Histogram(1, maxUnits, significantDigits),
    };
}

function addDuration(histogram: Int16Histogram, durationMs: number): void {
    if (histogram.totalCount < maxCount) {
        histogram.recordValue(Math.min(maxUnits, Math.max(1, Math.ceil(durationMs * unitsPerMs))));
    }
}
