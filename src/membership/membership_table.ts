/**
 * The known upstreams and their daemons. The instance list decides which upstreams exist; other sources can
 * additionally report that an upstream is leaving.
 *
 * @example
 * ```ts
 * const table = new MembershipTable({ clock, audit, logger, metrics });
 * table.merge(list, digest, "platform");
 * table.setLeaving("payments-3", "reply");
 * table.list("payments");
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { AuditSink } from "../audit/audit_sink.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Upstream } from "../core/upstream.ts";
import type { InstanceList } from "../published/instance_list.ts";
import type { DaemonInfo } from "./daemon_info.ts";
import type { DaemonTable } from "./daemon_table.ts";
import type { IncarnationReader } from "./incarnation_reader.ts";
import { IncarnationTable } from "./incarnation_table.ts";
import type { LeavingRecorder } from "./leaving_recorder.ts";
import type { LeavingReport } from "./leaving_report.ts";
import type { MembershipReader } from "./membership_reader.ts";
import { UpstreamIndex } from "./upstream_index.ts";

interface Options {
    readonly clock: Clock;
    readonly audit: AuditSink;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /**
     * Milliseconds after which a leaving report expires unless it is repeated; the default is 30 s. An owner
     * that is still draining then refuses one request, which repeats the report; a longer time would keep
     * work away from a daemon that has restarted.
     */
    readonly reportTtlMs?: number;
}

const emptyList: InstanceList = { version: 0, upstreams: [] };

/** Membership of the fleet as known to this daemon, kept in memory. */
export class MembershipTable implements IncarnationReader, MembershipReader, LeavingRecorder, DaemonTable {
    private current: InstanceList = emptyList;
    private digest = "";
    private readonly index = new UpstreamIndex();
    private readonly firstSeenMs = new Map<string, number>();
    private readonly upstreamReports = new Map<string, LeavingReport>();
    private readonly daemonReports = new Map<string, LeavingReport>();
    private readonly incarnations = new IncarnationTable();

    constructor(private readonly options: Options) {}

    list(service: string): readonly Upstream[] {
        return this.index.list(service).filter(upstream => !this.isLeaving(upstream.id));
    }

    /** Undefined when the upstream is not in the list. */
    find(upstreamId: string): Upstream | undefined {
        return this.index.getUpstream(upstreamId);
    }

    getFirstSeenMs(upstreamId: string): number | undefined {
        return this.firstSeenMs.get(upstreamId);
    }

    getVersion(): number {
        return this.current.version;
    }

    /** The list in force and its digest; version 0 and an empty digest until a list was merged. */
    getList(): { readonly list: InstanceList; readonly digest: string; } {
        return { list: this.current, digest: this.digest };
    }

    getDaemons(): ReadonlyMap<string, DaemonInfo> {
        return this.index.getDaemons();
    }

    getIncarnation(daemonId: string): string | undefined {
        return this.incarnations.getIncarnation(daemonId);
    }

    /** True when the list, or an unexpired report about the upstream or its owner, marks it as leaving. */
    isLeaving(upstreamId: string): boolean {
        const upstream = this.index.getUpstream(upstreamId);
        return upstream?.leaving === true || this.isUnexpired(this.upstreamReports.get(upstreamId))
            || (upstream !== undefined && this.isUnexpired(this.daemonReports.get(upstream.ownerId)));
    }

    setLeaving(upstreamId: string, cause: string): void {
        const wasLeaving = this.isLeaving(upstreamId);
        const ownerId = this.index.getUpstream(upstreamId)?.ownerId;
        const incarnation = ownerId === undefined ? undefined : this.getIncarnation(ownerId);
        this.upstreamReports.set(upstreamId, { cause, incarnation, expiresAtMs: this.computeReportExpiry() });
        if (!wasLeaving) {
            this.recordChange(upstreamId, "live", "leaving", cause);
        }
    }

    setDaemonLeaving(daemonId: string, incarnation: string, cause: string): boolean {
        const report = this.daemonReports.get(daemonId);
        const isRepeated = this.isUnexpired(report) && report?.incarnation === incarnation;
        if (isRepeated || this.incarnations.isReplaced(daemonId, incarnation)) {
            return false;
        }
        this.daemonReports.set(daemonId, { cause, incarnation, expiresAtMs: this.computeReportExpiry() });
        this.recordChange(daemonId, "live", "leaving", cause);
        return true;
    }

    recordIncarnation(daemonId: string, incarnation: string, isReply: boolean): void {
        if (!this.incarnations.record(daemonId, incarnation, isReply)) {
            return;
        }
        this.removeReports(
            daemonId,
            report => report.incarnation !== undefined && report.incarnation !== incarnation,
            incarnation,
        );
    }

    setDaemonStarted(daemonId: string, incarnation: string): void {
        this.removeReports(daemonId, report => report.incarnation !== incarnation, incarnation);
    }

    /** Replaces the list by a newer one; returns false when the list is already in force. */
    merge(list: InstanceList, digest: string, cause: string): Result<boolean, Failure> {
        const { version } = this.current;
        if (list.version < version) {
            const detail = `version ${list.version} is older than version ${version} in force`;
            return err(createFailure(Code.InstanceListStale, { detail }));
        }
        if (list.version === version) {
            return digest === this.digest ? ok(false) : err(createFailure(Code.InstanceListConflict));
        }
        this.current = list;
        this.digest = digest;
        this.updateUpstreams(list, cause);
        this.options.logger.write(LogLevel.Info, "instance_list_accepted", { version: list.version, cause });
        this.options.metrics.setGauge("membership.version", list.version);
        this.options.metrics.setGauge("membership.upstreams", list.upstreams.length);
        return ok(true);
    }

    private updateUpstreams(list: InstanceList, cause: string): void {
        const nowMs = this.options.clock.getMonotonicMs();
        for (const { before, after } of this.index.update(list.upstreams)) {
            const id = (after ?? before)!.id;
            if (after === undefined) {
                this.firstSeenMs.delete(id);
                this.upstreamReports.delete(id);
            }
            else if (before === undefined) {
                this.firstSeenMs.set(id, nowMs);
            }
            this.recordChange(id, formatUpstream(before), formatUpstream(after), cause);
        }
        const daemons = this.index.getDaemons();
        this.incarnations.removeUnlisted(daemons);
        for (const daemonId of [...this.daemonReports.keys()].filter(known => !daemons.has(known))) {
            this.daemonReports.delete(daemonId);
        }
    }

    private computeReportExpiry(): number {
        return this.options.clock.getMonotonicMs() + (this.options.reportTtlMs ?? 30_000);
    }

    private isUnexpired(report: LeavingReport | undefined): boolean {
        return report !== undefined && this.options.clock.getMonotonicMs() < report.expiresAtMs;
    }

    /** Removes the outdated leaving reports about a daemon and its upstreams. */
    private removeReports(
        daemonId: string,
        isOutdated: (report: LeavingReport) => boolean,
        incarnation: string,
    ): void {
        const cause = `incarnation ${incarnation}`;
        const daemonReport = this.daemonReports.get(daemonId);
        if (daemonReport !== undefined && isOutdated(daemonReport)) {
            this.daemonReports.delete(daemonId);
            this.recordChange(daemonId, "leaving", "live", cause);
        }
        for (const [upstreamId, report] of this.upstreamReports) {
            if (this.index.getUpstream(upstreamId)?.ownerId === daemonId && isOutdated(report)) {
                this.upstreamReports.delete(upstreamId);
                this.recordChange(upstreamId, "leaving", "live", cause);
            }
        }
    }

    private recordChange(subject: string, before: string, after: string, cause: string): void {
        this.options.audit.record({
            change: "membership",
            subject,
            before,
            after,
            cause,
            version: this.current.version,
        });
    }
}

/** Formats state and owner for the audit trail. */
function formatUpstream(upstream: Upstream | undefined): string {
    return upstream === undefined
        ? "absent"
        : `${upstream.leaving ? "leaving" : "live"} at ${upstream.ownerId} ${upstream.ownerAddress}`;
}
