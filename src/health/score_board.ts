/**
 * The most recent health score of each upstream that this daemon knows, from its own tests, from replies and from
 * reports of other daemons.
 *
 * A sender that meets an upstream only every few seconds would learn of its fault as late. Therefore each reply and
 * each head exchange carries the raised scores that its sender knows.
 *
 * @example
 * ```ts
 * const reply = { ...ownReply, healthReports: board.listReports(clock.getMonotonicMs()) };
 * board.merge(reply.healthReports, clock.getMonotonicMs());
 * ```
 *
 * @module
 */
import type { HealthReport } from "./health_report.ts";

/** Scores below this are those of healthy upstreams and not passed on; two slow answers in a row exceed it. */
const raisedScore = 3;

/** Reports older than this in milliseconds are no longer passed on. */
const reportLifeMs = 3_000;

/** Reports on one message; each takes some 20 bytes. */
const maxReports = 8;

/** Observations are dropped after this time in milliseconds. */
const observationLifeMs = 60_000;

/** Observations kept; above it, those that are too old are dropped. */
const pruneSize = 4_096;

/** Two raised scores of one upstream within this time in milliseconds belong together. */
const raisedGapMs = 1_000;

/**
 * A peak is remembered for this time in milliseconds. It is longer than reports take to arrive, and so short that a
 * healthy upstream at ten requests a second with 1.6% slow answers mostly has no peak.
 */
const peakLifeMs = 2_000;

interface Observation {
    readonly score: number;
    readonly atMs: number;
    /** Time since which the score has been raised; undefined when it is not. */
    readonly raisedSinceMs: number | undefined;
    readonly peak: number;
    readonly peakAtMs: number;
}

/** Keeps the freshest score of each upstream. */
export class ScoreBoard {
    private readonly observations = new Map<string, Observation>();
    /** Upstreams with a raised score, so that a message need not look through all. */
    private readonly raised = new Set<string>();

    /**
     * `atMs` is the monotonic time at which the owner computed the score, or an earlier one; `raisedSinceMs` the
     * time since which it has been raised, if the owner reported that.
     */
    record(upstreamId: string, score: number, atMs: number, raisedSinceMs?: number): void {
        const known = this.observations.get(upstreamId);
        if (known !== undefined && known.atMs > atMs) {
            return;
        }
        const isPeak = known === undefined || score >= known.peak || atMs - known.peakAtMs > peakLifeMs;
        const isRaised = score >= raisedScore;
        const knownSinceMs = known !== undefined && atMs - known.atMs <= raisedGapMs
            ? known.raisedSinceMs
            : undefined;
        this.observations.set(upstreamId, {
            score,
            atMs,
            raisedSinceMs: isRaised ? raisedSinceMs ?? knownSinceMs ?? atMs : undefined,
            peak: isPeak ? score : known.peak,
            peakAtMs: isPeak ? atMs : known.peakAtMs,
        });
        if (isRaised) {
            this.raised.add(upstreamId);
        }
        else {
            this.raised.delete(upstreamId);
        }
        if (this.observations.size > pruneSize) {
            this.removeOld(atMs);
        }
    }

    /** Takes reports of another daemon. */
    merge(reports: readonly HealthReport[], nowMs: number): void {
        for (const { upstreamId, score, ageMs, raisedForMs } of reports) {
            if (score >= 0 && ageMs >= 0 && ageMs <= reportLifeMs && raisedForMs >= 0) {
                this.record(upstreamId, score, nowMs - ageMs, nowMs - raisedForMs);
            }
        }
    }

    /** Score computed after `sinceMs`; undefined when none is known. */
    getScore(upstreamId: string, sinceMs: number): number | undefined {
        const known = this.observations.get(upstreamId);
        return known !== undefined && known.atMs > sinceMs ? known.score : undefined;
    }

    /** Highest score of the last seconds; 0 when none is known. */
    getPeak(upstreamId: string, nowMs: number): number {
        const known = this.observations.get(upstreamId);
        if (known === undefined) {
            return 0;
        }
        return nowMs - known.peakAtMs <= peakLifeMs ? known.peak : known.score;
    }

    /** Time since which the score has been raised; undefined when it is not. */
    getRaisedSinceMs(upstreamId: string): number | undefined {
        return this.observations.get(upstreamId)?.raisedSinceMs;
    }

    /** The freshest raised scores. */
    listReports(nowMs: number): readonly HealthReport[] {
        const reports: HealthReport[] = [];
        for (const upstreamId of this.raised) {
            const { score, atMs, raisedSinceMs = atMs } = this.observations.get(upstreamId)!;
            if (nowMs - atMs <= reportLifeMs) {
                const raisedForMs = Math.max(0, nowMs - raisedSinceMs);
                reports.push({ upstreamId, score, ageMs: Math.max(0, nowMs - atMs), raisedForMs });
            }
            else {
                this.raised.delete(upstreamId);
            }
        }
        return reports.sort((left, right) => left.ageMs - right.ageMs).slice(0, maxReports);
    }

    private removeOld(nowMs: number): void {
        for (const [upstreamId, { atMs }] of this.observations) {
            if (nowMs - atMs > observationLifeMs) {
                this.observations.delete(upstreamId);
                this.raised.delete(upstreamId);
            }
        }
    }
}
