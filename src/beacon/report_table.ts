/**
 * Newest report of each upstream, and the order in which reports are forwarded.
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

/**
 * Age in milliseconds after which a report is no longer forwarded, because its load has no weight any more.
 */
const maxAgeMs = 3_000;
/**
 * Sends of the same condition change by a daemon, the first of them to two others. A fraction of e^-7 of the
 * daemons, one in 1,100, then receives it from none.
 */
const changeSends = 6;

interface Entry {
    readonly state: UpstreamState;
    readonly sequence: number;
    /** Time at which the owner made the report, in monotonic milliseconds of this daemon. */
    readonly madeAtMs: number;
    /** True when the process that made the report has been replaced by another one. */
    readonly isReplaced: boolean;
}

interface Arrival {
    /**
     * True when the upstream is in the local failure domain, in which reports are forwarded also without a
     * change.
     */
    readonly isLocal: boolean;
    readonly nowMs: number;
}

/** Keeps the reports that a daemon receives. */
export class ReportTable {
    private readonly entries = new Map<string, Entry>();
    /** Remaining sends for each upstream with a condition change, the next one first. */
    private readonly conditionChanges = new Map<string, number>();
    /** Upstreams with a newer report that has not been forwarded, the next one first. */
    private readonly replaced = new Set<string>();

    /** Stores a report unless the same or a newer one is known. */
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

    /** Takes up to `count` reports to forward, condition changes first. */
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

    /** Takes up to `count` reports with a recent condition change. */
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
     * Marks reports of a process that has been replaced. They are not forwarded any more, and the next report
     * is accepted with any sequence number, because the clock of the instance, and with it the sequence, may
     * have been set back.
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

    /** Removes upstreams that are no longer listed. */
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
