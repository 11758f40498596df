/**
 * The newest health score of each upstream, from the tests of this daemon, from replies and from reports of
 * other daemons.
 *
 * An entry daemon that sends a request to an upstream only every few seconds would detect a fault only
 * seconds after it began. Therefore replies and head exchanges contain the high scores known to their sender,
 * and scores of other upstreams of the same service to compare them with. Nothing is sent while no score is
 * high.
 *
 * @example
 * ```ts
 * const reply = { ...ownReply, healthReports: scoreTable.listReports(clock.getMonotonicMs(), upstreamId) };
 * scoreTable.merge(reply.healthReports, clock.getMonotonicMs());
 * ```
 *
 * @module
 */
import type { HealthReport } from "./health_report.ts";
import type { HealthReportExchange } from "./health_report_exchange.ts";
import { HealthReportLimiter } from "./health_report_limiter.ts";
import { raisedScoreThreshold } from "./raised_score_threshold.ts";
import type { ScoreRecord } from "./score_record.ts";

/**
 * Score from which on an upstream is reported. Two bad results in a row exceed it, which is rare at a healthy
 * upstream.
 */
const reportedScore = 6;

/** Scores older than this in milliseconds are no longer reported to other daemons. */
const reportMaxAgeMs = 3_000;

/** Largest number of reports in one message, and of those with high scores among them. */
const maxReports = 8;
const maxHighReports = 4;

/** Raised scores of one upstream at most this time in milliseconds apart belong to the same period. */
const raisedGapMs = 1_000;

/** Milliseconds for which a peak is kept; after a common fault the scores fall within this time. */
const peakMaxAgeMs = 10_000;

/** Scores older than this in milliseconds are removed when more than `pruneSize` are kept. */
const scoreMaxAgeMs = 60_000;
const pruneSize = 4_096;

interface Observation extends ScoreRecord {
    /** Undefined when the score is not raised. */
    readonly raisedSinceMs: number | undefined;
    readonly peak: number;
    readonly peakAtMs: number;
    /** Undefined when the score is not 0. */
    readonly zeroSinceMs: number | undefined;
}

/** Keeps the newest score of each upstream. */
export class HealthScoreTable implements HealthReportExchange {
    private readonly observations = new Map<string, Observation>();
    /** Upstreams whose score is high enough to be reported. */
    private readonly reportable = new Set<string>();
    /** Identifiers of the upstreams of each service. */
    private readonly services = new Map<string, Set<string>>();
    private readonly limiter = new HealthReportLimiter();

    record(record: ScoreRecord): void {
        const { upstreamId, service, score, atMs } = record;
        const known = this.observations.get(upstreamId);
        if (known !== undefined && known.atMs > atMs) {
            return;
        }
        const isPeak = known === undefined || score >= known.peak || atMs - known.peakAtMs > peakMaxAgeMs;
        const isContinued = known !== undefined && atMs - known.atMs <= raisedGapMs;
        const raisedSinceMs = record.raisedSinceMs ?? (isContinued ? known.raisedSinceMs : undefined) ?? atMs;
        this.observations.set(upstreamId, {
            upstreamId,
            service,
            score,
            atMs,
            raisedSinceMs: score >= raisedScoreThreshold ? raisedSinceMs : undefined,
            peak: isPeak ? score : known.peak,
            peakAtMs: isPeak ? atMs : known.peakAtMs,
            zeroSinceMs: score > 0 ? undefined : known?.zeroSinceMs ?? atMs,
        });
        if (score >= reportedScore) {
            this.reportable.add(upstreamId);
        }
        else {
            this.reportable.delete(upstreamId);
        }
        this.services.set(service, (this.services.get(service) ?? new Set()).add(upstreamId));
        if (this.observations.size > pruneSize) {
            this.removeOld(atMs);
        }
    }

    /** Merges reports of another daemon; malformed ones are ignored. */
    merge(reports: readonly HealthReport[], nowMs: number): void {
        for (const { upstreamId, service, score, ageMs, raisedForMs } of reports) {
            if (score >= 0 && ageMs >= 0 && raisedForMs >= 0) {
                const atMs = nowMs - ageMs;
                this.record({ upstreamId, service, score, atMs, raisedSinceMs: atMs - raisedForMs });
            }
        }
    }

    /** Newest score if it was computed after `sinceMs`, otherwise undefined. */
    getScore(upstreamId: string, sinceMs: number): number | undefined {
        const known = this.observations.get(upstreamId);
        return known !== undefined && known.atMs > sinceMs ? known.score : undefined;
    }

    /** Peak of the last seconds if it was reached at or after `sinceMs`, otherwise the newest score. */
    getPeak(upstreamId: string, sinceMs: number): number {
        const known = this.observations.get(upstreamId);
        if (known === undefined) {
            return 0;
        }
        return known.peakAtMs >= sinceMs ? known.peak : known.score;
    }

    /** Time since which all known scores have been 0; undefined when the newest is not 0. */
    getZeroSinceMs(upstreamId: string): number | undefined {
        return this.observations.get(upstreamId)?.zeroSinceMs;
    }

    /** True when the newest score is from `sinceMs` or later and is the peak. */
    isAtPeak(upstreamId: string, sinceMs: number): boolean {
        const known = this.observations.get(upstreamId);
        return known !== undefined && known.atMs >= sinceMs && known.score >= known.peak;
    }

    /** Time since which the score has been raised; undefined when it is not raised. */
    getRaisedSinceMs(upstreamId: string): number | undefined {
        return this.observations.get(upstreamId)?.raisedSinceMs;
    }

    /**
     * The highest scores, and the newest scores of other upstreams of the same services. `aboutId` is the
     * upstream of a reply: its score is always in the reply, and this report adds the time for which it has
     * been raised.
     */
    listReports(nowMs: number, aboutId?: string): readonly HealthReport[] {
        const about = aboutId === undefined ? undefined : this.observations.get(aboutId);
        const own = about?.raisedSinceMs === undefined ? [] : [buildReport(about, nowMs)];
        return [...own, ...this.listOthers(nowMs).filter(({ upstreamId }) => upstreamId !== aboutId)];
    }

    private listOthers(nowMs: number): readonly HealthReport[] {
        if (this.reportable.size === 0) {
            return [];
        }
        const isFresh = ({ atMs }: Observation): boolean => nowMs - atMs <= reportMaxAgeMs;
        const high = this.listObservations(this.reportable).filter(isFresh)
            .sort((left, right) => right.score - left.score)
            .slice(0, maxHighReports);
        const reported = new Set(high);
        const others = [...new Set(high.map(({ service }) => service))]
            .flatMap(service => this.listObservations(this.services.get(service) ?? new Set()))
            .filter(observation => isFresh(observation) && !reported.has(observation))
            .sort((left, right) => right.atMs - left.atMs);
        const chosen = [...high, ...others].slice(0, maxReports);
        const sent = chosen.slice(0, this.limiter.take(chosen.length, nowMs));
        return sent.map(observation => buildReport(observation, nowMs));
    }

    private listObservations(upstreamIds: ReadonlySet<string>): readonly Observation[] {
        return [...upstreamIds].map(upstreamId => this.observations.get(upstreamId)!);
    }

    private removeOld(nowMs: number): void {
        for (const [upstreamId, { service, atMs }] of this.observations) {
            if (nowMs - atMs > scoreMaxAgeMs) {
                this.observations.delete(upstreamId);
                this.reportable.delete(upstreamId);
                this.services.get(service)?.delete(upstreamId);
            }
        }
    }
}

function buildReport(observation: Observation, nowMs: number): HealthReport {
    const { upstreamId, service, score, atMs, raisedSinceMs = atMs } = observation;
    const ageMs = Math.max(0, nowMs - atMs);
    return { upstreamId, service, score, ageMs, raisedForMs: Math.max(0, atMs - raisedSinceMs) };
}
