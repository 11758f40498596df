/**
 * Selection of one upstream for each attempt by load among the upstreams that outlier detection has not
 * ejected.
 *
 * @example
 * ```ts
 * const selected = selector.select(request, 1, new Set());
 * if (selected.isOk()) {
 *     selector.recordStart(selected.value);
 *     const reply = await forwarder.forward(selected.value, signal);
 *     selector.recordReply(selected.value, reply, roundTripMs);
 * }
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { ServiceConfig } from "../config/service_config.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Upstream } from "../core/upstream.ts";
import { WorkClass } from "../core/work_class.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { computeAlarmScore } from "../health/compute_alarm_score.ts";
import { decideTrialResult } from "../health/decide_trial_result.ts";
import { EjectionTable } from "../health/ejection_table.ts";
import { isExpected } from "../health/is_expected.ts";
import { PathTable } from "../health/path_table.ts";
import type { Rotation } from "../health/rotation.ts";
import type { UpstreamStatus } from "../health/upstream_status.ts";
import type { UpstreamStatusReader } from "../health/upstream_status_reader.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { BaselineReader } from "./baseline_reader.ts";
import { BaselineTable } from "./baseline_table.ts";
import { ObservedLoad } from "./observed_load.ts";
import { selectByLoad } from "./select_by_load.ts";
import type { SelectedRequest } from "./selected_request.ts";
import type { SelectorOptions } from "./selector_options.ts";
import type { UpstreamSelector } from "./upstream_selector.ts";

/** Allowance in milliseconds for the round trip and for scheduling before a reply counts as overdue. */
const pathSlackMs = 100;

/** Fraction of the remaining time after which a reply counts as overdue when no baseline is known. */
const defaultOverdueShare = 0.5;

/** Attempts of one request that owners may redirect; the next attempt waits in the queue. */
const maxRedirects = 2;

/** Upstreams whose load is kept; when it is reached, those without requests in flight are removed. */
const maxLoads = 4_096;

/** Codes 3xxx report that the hop between the daemons failed. */
const firstHopCode = 3_000;
const lastHopCode = 3_999;

/** Selects by the power of two choices among the upstreams in rotation. */
export class PowerOfTwoSelector implements UpstreamSelector, UpstreamStatusReader, BaselineReader {
    private readonly loads = new Map<string, ObservedLoad>();
    private readonly baselines = new BaselineTable();
    private readonly paths = new PathTable();
    private readonly ejections: EjectionTable;

    constructor(private readonly options: SelectorOptions) {
        this.ejections = new EjectionTable(options);
    }

    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
    ): Result<SelectedRequest, Failure> {
        const { service, route } = request;
        const { idempotent } = route;
        const nowMs = this.options.clock.getMonotonicMs();
        const members = this.options.membership.list(service.name);
        const rotation = this.updateRotation(service, members, nowMs);
        const untried = members.filter(member => !excluded.has(member.id));
        const reachable = untried.filter(member => !this.paths.isAvoided(member.ownerId, idempotent, nowMs));

        const trial = attempt === 1
            ? this.ejections.findTrial(service.name, reachable, { idempotent, nowMs })
            : undefined;
        const inRotation = reachable.filter(member => !rotation.ejected.has(member.id));
        // The later lists are used when the paths to all upstreams in rotation failed, or when all were
        // tried.
        const lists = [
            inRotation.filter(member => !this.getLoad(member.id).hasOverdue(nowMs)),
            inRotation,
            untried.filter(member => !rotation.ejected.has(member.id)),
            untried,
        ];
        const candidates = lists.find(list => list.length > 0) ?? [];
        const upstream = trial ?? this.selectCandidate(service, candidates, nowMs);
        if (upstream === undefined) {
            return err(createFailure(Code.NoUpstream));
        }
        const baselineMs = this.baselines.compute(service, route, {
            upstreamId: upstream.id,
            excluded: rotation.ejected,
            nowMs,
        });
        const trialAttempt = rotation.ejected.has(upstream.id);
        const redirectable = route.workClass === WorkClass.Short && !trialAttempt
            && attempt <= maxRedirects && candidates.length > 1;
        return ok({ ...request, attempt, upstream, baselineMs, trial: trialAttempt, redirectable });
    }

    recordStart(selected: SelectedRequest): void {
        const { upstream, baselineMs } = selected;
        const nowMs = this.options.clock.getMonotonicMs();
        const load = this.getLoad(upstream.id);
        const overdueAfterMs = baselineMs > 0
            ? baselineMs + 2 * load.getWaitMs() + pathSlackMs
            : (selected.deadlineMs - nowMs) * defaultOverdueShare;
        load.addRequest(formatKey(selected), nowMs + overdueAfterMs);
        if (selected.trial) {
            this.ejections.recordTrialStart(selected.service.name, upstream.id);
        }
    }

    recordUnconfirmed(selected: SelectedRequest): void {
        this.paths.recordFailure(selected.upstream.ownerId, this.options.clock.getMonotonicMs());
    }

    recordReply(selected: SelectedRequest, reply: OwnerReply, roundTripMs: number): void {
        const { service, route, upstream, trial } = selected;
        const nowMs = this.options.clock.getMonotonicMs();
        const load = this.getLoad(upstream.id);
        load.removeRequest(formatKey(selected));
        this.options.scoreTable.merge(reply.healthReports ?? [], nowMs);
        if (reply.upstream !== undefined) {
            load.update(reply.upstream, nowMs);
            this.paths.recordSuccess(upstream.ownerId);
            this.recordScore(selected, reply, reply.upstream.healthScore, nowMs - roundTripMs);
        }
        else if (reply.code >= firstHopCode && reply.code <= lastHopCode) {
            this.paths.recordFailure(upstream.ownerId, nowMs);
        }
        if (reply.code === Code.OwnerLeaving || reply.upstream?.leaving === true) {
            this.options.leaving.setLeaving(upstream.id, "reply");
        }
        if (trial) {
            this.ejections.recordTrialEnd(service, upstream.id, decideTrialResult(selected, reply), nowMs);
        }
        else if (reply.answer !== undefined && isExpected(reply.answer, route.expect)) {
            const sample = { upstreamId: upstream.id, serviceMs: reply.serviceMs, atMs: nowMs };
            this.baselines.record(service, route, sample);
        }
        this.updateRotation(service, this.options.membership.list(service.name), nowMs);
    }

    listStatus(service: ServiceConfig): readonly UpstreamStatus[] {
        const nowMs = this.options.clock.getMonotonicMs();
        const members = this.options.membership.list(service.name);
        const rotation = this.updateRotation(service, members, nowMs);
        return members.map(({ id, ownerId }) => {
            const state = this.ejections.getState(service.name, id);
            return {
                upstreamId: id,
                score: this.options.scoreTable.getScore(id, Number.NEGATIVE_INFINITY),
                alarmScore: computeAlarmScore(service.health),
                inRotation: rotation.inRotation.has(id),
                ejected: rotation.ejected.has(id),
                unreachable: this.paths.isAvoided(ownerId, true, nowMs),
                holdLeftMs: state?.ejected === true ? Math.max(0, state.holdUntilMs - nowMs) : 0,
                weight: this.ejections.getWeight(service, id, nowMs),
                ejections: state?.ejections ?? 0,
                trials: state?.trials ?? 0,
                inFlight: this.getLoad(id).countInFlight(),
            };
        });
    }

    /** True for an upstream of the service that is in rotation and that this daemon can reach. */
    isAvailable(service: ServiceConfig, upstream: Upstream): boolean {
        const nowMs = this.options.clock.getMonotonicMs();
        const members = this.options.membership.list(service.name);
        return this.updateRotation(service, members, nowMs).inRotation.has(upstream.id)
            && members.some(({ id }) => id === upstream.id)
            && !this.paths.isAvoided(upstream.ownerId, false, nowMs);
    }

    getBaselineMs(request: RoutedRequest, upstreamId: string): number {
        const { service, route } = request;
        const nowMs = this.options.clock.getMonotonicMs();
        const excluded =
            this.updateRotation(service, this.options.membership.list(service.name), nowMs).ejected;
        return this.baselines.compute(service, route, { upstreamId, excluded, nowMs });
    }

    /** Records the score of a reply unless a health report in the same reply gives its age. */
    private recordScore(selected: SelectedRequest, reply: OwnerReply, score: number, sentAtMs: number): void {
        const { id: upstreamId, service } = selected.upstream;
        if (reply.healthReports?.some(report => report.upstreamId === upstreamId) !== true) {
            // The reply may have been delayed; its score is not newer than the end of the exchange with the
            // upstream.
            const atMs = sentAtMs + reply.waitMs + reply.serviceMs;
            this.options.scoreTable.record({ upstreamId, service, score, atMs });
        }
    }

    private updateRotation(service: ServiceConfig, members: readonly Upstream[], nowMs: number): Rotation {
        const unreachable = new Set(
            members.filter(({ ownerId }) => this.paths.isAvoided(ownerId, true, nowMs)).map(({ id }) => id),
        );
        return this.ejections.update(service, members, unreachable, nowMs);
    }

    private selectCandidate(
        service: ServiceConfig,
        candidates: readonly Upstream[],
        nowMs: number,
    ): Upstream | undefined {
        return selectByLoad(candidates, {
            random: this.options.random,
            failureDomain: this.options.failureDomain,
            region: this.options.region,
            getLoad: ({ id }) => this.getLoad(id).measure(nowMs),
            getWeight: ({ id }) => this.ejections.getWeight(service, id, nowMs),
        });
    }

    findLoad(upstreamId: string): ObservedLoad | undefined {
        return this.loads.get(upstreamId);
    }

    private getLoad(upstreamId: string): ObservedLoad {
        let load = this.loads.get(upstreamId);
        if (load === undefined) {
            if (this.loads.size >= maxLoads) {
                this.removeIdleLoads();
            }
            load = new ObservedLoad();
            this.loads.set(upstreamId, load);
        }
        return load;
    }

    private removeIdleLoads(): void {
        for (const [upstreamId, load] of this.loads) {
            if (load.countInFlight() === 0) {
                this.loads.delete(upstreamId);
            }
        }
    }
}

function formatKey(selected: SelectedRequest): string {
    return `${selected.requestId}/${selected.attempt}`;
}
