/**
 * The known upstreams and their daemons. The instance list decides who exists; a report from any source
 * can add that an upstream is leaving.
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
import type { Daemon } from "./daemon.ts";
import type { DaemonTable } from "./daemon_table.ts";
import type { IncarnationReader } from "./incarnation_reader.ts";
import { IncarnationTable } from "./incarnation_table.ts";
import type { LeavingMark } from "./leaving_mark.ts";
import type { LeavingRecorder } from "./leaving_recorder.ts";
import type { MembershipReader } from "./membership_reader.ts";
import { UpstreamIndex } from "./upstream_index.ts";

interface Options {
    readonly clock: Clock;
    readonly audit: AuditSink;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /**
     * Milliseconds after which a leaving mark that nothing repeats ends; the default is 30 s. An owner that
     * still drains then refuses one request, which sets the mark again; a longer mark keeps work away from a daemon
     * that has restarted.
     */
    readonly markMs?: number;
}

const emptyList: InstanceList = { version: 0, upstreams: [] };

/** Table of upstreams, kept in the memory of one daemon. */
export class MembershipTable implements IncarnationReader, MembershipReader, LeavingRecorder, DaemonTable {
    private current: InstanceList = emptyList;
    private digest = "";
    private readonly index = new UpstreamIndex();
    private readonly firstSeenMs = new Map<string, number>();
    private readonly upstreamMarks = new Map<string, LeavingMark>();
    private readonly daemonMarks = new Map<string, LeavingMark>();
    private readonly incarnations = new IncarnationTable();

    constructor(private readonly options: Options) {}

    list(service: string): readonly Upstream[] {
        return this.index.list(service).filter(upstream => !this.isLeaving(upstream.id));
    }

    /** Undefined when the list does not name the upstream. */
    find(upstreamId: string): Upstream | undefined {
        return this.index.getUpstream(upstreamId);
    }

    getFirstSeenMs(upstreamId: string): number | undefined {
        return this.firstSeenMs.get(upstreamId);
    }

    getVersion(): number {
        return this.current.version;
    }

    /** The list in force and its digest; version 0 and an empty digest until there is one. */
    getList(): { readonly list: InstanceList; readonly digest: string; } {
        return { list: this.current, digest: this.digest };
    }

    getDaemons(): ReadonlyMap<string, Daemon> {
        return this.index.getDaemons();
    }

    getIncarnation(daemonId: string): string | undefined {
        return this.incarnations.getIncarnation(daemonId);
    }

    /** True when the list or an unexpired report about the upstream or its owner says that it is leaving. */
    isLeaving(upstreamId: string): boolean {
        const upstream = this.index.getUpstream(upstreamId);
        return upstream?.leaving === true || this.isMarked(this.upstreamMarks.get(upstreamId))
            || (upstream !== undefined && this.isMarked(this.daemonMarks.get(upstream.ownerId)));
    }

    setLeaving(upstreamId: string, cause: string): void {
        const wasLeaving = this.isLeaving(upstreamId);
        const ownerId = this.index.getUpstream(upstreamId)?.ownerId;
        const incarnation = ownerId === undefined ? undefined : this.getIncarnation(ownerId);
        this.upstreamMarks.set(upstreamId, { cause, incarnation, untilMs: this.computeMarkEnd() });
        if (!wasLeaving) {
            this.recordChange(upstreamId, "live", "leaving", cause);
        }
    }

    setDaemonLeaving(daemonId: string, incarnation: string, cause: string): boolean {
        const mark = this.daemonMarks.get(daemonId);
        const isKnown = this.isMarked(mark) && mark?.incarnation === incarnation;
        if (isKnown || this.incarnations.isPast(daemonId, incarnation)) {
            return false;
        }
        this.daemonMarks.set(daemonId, { cause, incarnation, untilMs: this.computeMarkEnd() });
        this.recordChange(daemonId, "live", "leaving", cause);
        return true;
    }

    recordIncarnation(daemonId: string, incarnation: string, isReply: boolean): void {
        if (!this.incarnations.record(daemonId, incarnation, isReply)) {
            return;
        }
        this.removeMarks(
            daemonId,
            mark => mark.incarnation !== undefined && mark.incarnation !== incarnation,
            incarnation,
        );
    }

    setDaemonStarted(daemonId: string, incarnation: string): void {
        this.removeMarks(daemonId, mark => mark.incarnation !== incarnation, incarnation);
    }

    /** Takes a newer list; returns false when it is the one in force. */
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
                this.upstreamMarks.delete(id);
            }
            else if (before === undefined) {
                this.firstSeenMs.set(id, nowMs);
            }
            this.recordChange(id, formatUpstream(before), formatUpstream(after), cause);
        }
        const daemons = this.index.getDaemons();
        this.incarnations.removeExcept(daemons);
        for (const daemonId of [...this.daemonMarks.keys()].filter(known => !daemons.has(known))) {
            this.daemonMarks.delete(daemonId);
        }
    }

    private computeMarkEnd(): number {
        return this.options.clock.getMonotonicMs() + (this.options.markMs ?? 30_000);
    }

    private isMarked(mark: LeavingMark | undefined): boolean {
        return mark !== undefined && this.options.clock.getMonotonicMs() < mark.untilMs;
    }

    /** Ends the matching marks of a daemon and of its upstreams. */
    private removeMarks(daemonId: string, isOver: (mark: LeavingMark) => boolean, incarnation: string): void {
        const cause = `incarnation ${incarnation}`;
        const daemonMark = this.daemonMarks.get(daemonId);
        if (daemonMark !== undefined && isOver(daemonMark)) {
            this.daemonMarks.delete(daemonId);
            this.recordChange(daemonId, "leaving", "live", cause);
        }
        for (const [upstreamId, mark] of this.upstreamMarks) {
            if (this.index.getUpstream(upstreamId)?.ownerId === daemonId && isOver(mark)) {
                this.upstreamMarks.delete(upstreamId);
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

/** State and owner for the audit trail. */
function formatUpstream(upstream: Upstream | undefined): string {
    return upstream === undefined
        ? "absent"
        : `${upstream.leaving ? "leaving" : "live"} at ${upstream.ownerId} ${upstream.ownerAddress}`;
}
