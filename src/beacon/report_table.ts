/**
 * Newest report of each upstream, and which of them are to be passed on next.
 *
 * @example
 * ```ts
 * if (table.record(report, { isLocal: true, nowMs }) === ReportFreshness.ConditionChanged) {
 *     send(table.takeConditionChanges(6, nowMs));
 * }
 * ```
 *
 * @module
 */
import type { UpstreamState } from "../core/upstream_state.ts";
import { decideUpstreamCondition } from "./decide_upstream_condition.ts";
import { ReportFreshness } from "./report_freshness.ts";
import { UpstreamCondition } from "./upstream_condition.ts";
import type { UpstreamReport } from "./upstream_report.ts";

/** Age in milliseconds after which a report is no longer passed on: the load in it has no weight then. */
const maxAgeMs = 3_000;
/**
 * Sends of the same news by a daemon, the first of them to two others. A share of e^-7 of the daemons then
 * hears of it from none, one in 1,100.
 */
const changeSends = 6;

interface Entry {
    readonly state: UpstreamState;
    readonly sequence: number;
    /** Monotonic time of this daemon at which the owner made the report. */
    readonly madeAtMs: number;
    /** True when another process has taken the place of the one that made the report. */
    readonly isReplaced: boolean;
}

interface Arrival {
    /** True when the upstream is in the own failure domain, whose daemons keep each other up to date. */
    readonly isLocal: boolean;
    readonly nowMs: number;
}

/** Reports of one daemon and of those that it hears of. */
export class ReportTable {
    private readonly entries = new Map<string, Entry>();
    /** Sends that are left for each upstream with news, the next one first. */
    private readonly conditionChanges = new Map<string, number>();
    /** Upstreams whose report has been replaced since it was passed on, the next one first. */
    private readonly replaced = new Set<string>();

    /** Takes a report unless a newer one is known. */
    record({ ageMs, sequence, state }: UpstreamReport, { isLocal, nowMs }: Arrival): ReportFreshness {
        const { upstreamId } = state;
        const known = this.entries.get(upstreamId);
        if (known !== undefined && !known.isReplaced && sequence <= known.sequence) {
            return ReportFreshness.Stale;
        }
        this.entries.set(upstreamId, { state, sequence, madeAtMs: nowMs - ageMs, isReplaced: false });
        const before = known === undefined ? UpstreamCondition.Healthy : decideUpstreamCondition(known.state);
        if (decideUpstreamCondition(state) !== before) {
            this.conditionChanges.set(upstreamId, changeSends);
            return ReportFreshness.ConditionChanged;
        }
        if (isLocal) {
            this.replaced.add(upstreamId);
        }
        return ReportFreshness.Newer;
    }

    /** Takes up to `count` reports to pass on, news first. */
    take(count: number, nowMs: number): readonly UpstreamReport[] {
        const reports = [...this.takeConditionChanges(count, nowMs)];
        for (const upstreamId of this.replaced) {
            if (reports.length >= count) {
                break;
            }
            this.replaced.delete(upstreamId);
            const report = this.buildReport(upstreamId, nowMs);
            if (report !== undefined && !reports.some(({ state }) => state === report.state)) {
                reports.push(report);
            }
        }
        return reports;
    }

    /** Takes up to `count` reports whose news class has changed lately. */
    takeConditionChanges(count: number, nowMs: number): readonly UpstreamReport[] {
        const reports: UpstreamReport[] = [];
        for (const [upstreamId, sends] of [...this.conditionChanges].slice(0, count)) {
            this.conditionChanges.delete(upstreamId);
            const report = this.buildReport(upstreamId, nowMs);
            if (report !== undefined) {
                reports.push(report);
                if (sends > 1) {
                    this.conditionChanges.set(upstreamId, sends - 1);
                }
            }
        }
        return reports;
    }

    /**
     * The process that made these reports has been replaced: they are not passed on any more, and the next
     * one counts whatever its sequence, because the clock of the instance may have stepped back and the
     * sequence with it.
     */
    setReplaced(isOwned: (upstreamId: string) => boolean): void {
        for (const [upstreamId, entry] of this.entries) {
            if (isOwned(upstreamId)) {
                this.entries.set(upstreamId, { ...entry, isReplaced: true });
            }
        }
    }

    remove(upstreamId: string): void {
        this.entries.delete(upstreamId);
        this.conditionChanges.delete(upstreamId);
        this.replaced.delete(upstreamId);
    }

    /** Forgets the upstreams that are no longer listed. */
    removeUnlisted(isListed: (upstreamId: string) => boolean): void {
        for (const upstreamId of [...this.entries.keys()].filter(id => !isListed(id))) {
            this.remove(upstreamId);
        }
    }

    private buildReport(upstreamId: string, nowMs: number): UpstreamReport | undefined {
        const entry = this.entries.get(upstreamId);
        if (entry === undefined || entry.isReplaced || nowMs - entry.madeAtMs > maxAgeMs) {
            return undefined;
        }
        const { madeAtMs, sequence, state } = entry;
        return { state, sequence, ageMs: nowMs - madeAtMs };
    }
}
