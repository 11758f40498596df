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

interface Observation {
    readonly score: number;
    readonly atMs: number;
}

/** Keeps the freshest score of each upstream. */
export class ScoreBoard {
    private readonly observations = new Map<string, Observation>();
    /** Upstreams with a raised score, so that a message need not look through all. */
    private readonly raised = new Set<string>();

    /** `atMs` is the monotonic time at which the owner computed the score, or an earlier one. */
    record(upstreamId: string, score: number, atMs: number): void {
        const known = this.observations.get(upstreamId);
        if (known !== undefined && known.atMs > atMs) {
            return;
        }
        this.observations.set(upstreamId, { score, atMs });
        if (score >= raisedScore) {
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
        for (const { upstreamId, score, ageMs } of reports) {
            if (score >= 0 && ageMs >= 0 && ageMs <= reportLifeMs) {
                this.record(upstreamId, score, nowMs - ageMs);
            }
        }
    }

    /** Score computed after `sinceMs`; undefined when none is known. */
    getScore(upstreamId: string, sinceMs: number): number | undefined {
        const known = this.observations.get(upstreamId);
        return known !== undefined && known.atMs > sinceMs ? known.score : undefined;
    }

    /** The freshest raised scores. */
    listReports(nowMs: number): readonly HealthReport[] {
        const reports: HealthReport[] = [];
        for (const upstreamId of this.raised) {
            const { score, atMs } = this.observations.get(upstreamId)!;
            if (nowMs - atMs <= reportLifeMs) {
                reports.push({ upstreamId, score, ageMs: Math.max(0, nowMs - atMs) });
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
