/**
 * Selection of one upstream for each attempt by the fault probabilities that owners estimate for their
 * upstreams.
 *
 * Non-idempotent requests go to upstreams that have just succeeded. Idempotent requests that have attempts
 * and retry budget left explore: they go where the result gives most information, and find failing upstreams
 * at the cost of a retry.
 *
 * @example
 * ```ts
 * const selected = selector.select(request, 1, new Set());
 * if (selected.isOk()) {
 *     selector.recordStart(selected.value);
 *     selector.recordReply(selected.value, reply, roundTripMs);
 * }
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { PeerStatusReader } from "../beacon/peer_status_reader.ts";
import type { StateObserver } from "../beacon/state_observer.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Upstream } from "../core/upstream.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { RetryBudget } from "../forward/retry_budget.ts";
import { isExpected } from "../health/is_expected.ts";
import { PathTable } from "../health/path_table.ts";
import { suspicionLimits } from "../health/suspicion_limits.ts";
import type { LeavingRecorder } from "../membership/leaving_recorder.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import { BaselineTable } from "./baseline_table.ts";
import { computeFaultLoss } from "./compute_fault_loss.ts";
import { computeWaitLoss } from "./compute_wait_loss.ts";
import { isTrialDue } from "./is_trial_due.ts";
import { isTrialRequest } from "./is_trial_request.ts";
import type { ObservedLoad } from "./observed_load.ts";
import type { SelectedRequest } from "./selected_request.ts";
import type { SelectionContext } from "./selection_context.ts";
import type { UpstreamSelector } from "./upstream_selector.ts";
import { UpstreamViewTable } from "./upstream_view_table.ts";

interface Options {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: MembershipReader;
    readonly leaving: LeavingRecorder;
    readonly budget: RetryBudget;
    readonly peerStatus: PeerStatusReader;
    /** Location of this daemon. */
    readonly failureDomain: string;
    readonly region: string;
}

/** Losses are fractions of the value of a request. */
const otherDomainLoss = 0.02;
const otherRegionLoss = 0.1;
/** Loss of an upstream with an overdue request of this entry daemon. */
const overdueLoss = 0.3;
/** Largest random part; spreads the choices of entry daemons that have the same information. */
const jitterLoss = 0.005;
/** Share of the retry budget for exploration; the rest is for requests that fail unexpectedly. */
const explorationBudgetShare = 0.4;
/** Increase of the fault probability that a request accepts between its selection and its dispatch. */
const faultLimitMargin = 0.15;
/** Probability that no slot is free from which on an upstream is no candidate for service at once. */
const fullLimit = 0.75;
/** Redirecting refusals after which a request waits for a slot instead of looking for a free upstream. */
const maxRedirects = 3;
/** Allowance in milliseconds for the round trip and for scheduling before a reply counts as overdue. */
const pathSlackMs = 100;
/** Fraction of the remaining time after which a reply counts as overdue when no baseline is known. */
const defaultOverdueShare = 0.5;
/** Codes 3xxx report that the hop between the daemons failed. */
const firstHopCode = 3_000;
const lastHopCode = 3_999;

interface Candidates {
    readonly candidates: readonly Upstream[];
    readonly context: SelectionContext;
}

/** Selects the upstream with the smallest expected loss. */
export class ExpectedLossSelector implements UpstreamSelector, StateObserver {
    private readonly views = new UpstreamViewTable();
    private readonly baselines = new BaselineTable();
    private readonly paths = new PathTable();

    constructor(private readonly options: Options) {}

    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
        history: AttemptHistory = { possibleExecutions: 0, redirected: new Set() },
    ): Result<SelectedRequest, Failure> {
        const nowMs = this.options.clock.getMonotonicMs();
        const { failureDomain } = this.options;
        const { candidates, context } = this.findCandidates(request, excluded, history, nowMs);
        const { background, canExplore, isLastResort, suspicionLimit } = context;
        const best = this.selectBest(candidates, context);
        if (best === undefined) {
            return err(createFailure(Code.NoUpstream));
        }
        const { loss, upstream } = best;
        const baselineMs = this.baselines.compute(request.service, request.route, {
            upstreamId: upstream.id,
            excluded: new Set(),
            nowMs,
        });
        const view = this.views.get(upstream.id);
        const selection = { candidates: candidates.length, learns: canExplore, loss };
        const basis = { ...view.buildBasis(background, nowMs), ...selection };
        const remote = upstream.failureDomain !== failureDomain;
        // A request without a better upstream accepts the known fault probability and a small increase of it.
        const faultLimit = isLastResort
            ? Math.max(suspicionLimit, basis.faultProbability + faultLimitMargin)
            : suspicionLimit;
        const fields = {
            attempt,
            upstream,
            baselineMs,
            trial: false,
            redirectable: !isLastResort,
            remote,
            faultLimit,
            basis,
        };
        return ok({ ...request, ...fields });
    }

    recordStart(selected: SelectedRequest): void {
        const { baselineMs, upstream } = selected;
        const nowMs = this.options.clock.getMonotonicMs();
        const view = this.views.get(upstream.id);
        const overdueAfterMs = baselineMs > 0
            ? baselineMs + 2 * view.load.getWaitMs() + pathSlackMs
            : (selected.deadlineMs - nowMs) * defaultOverdueShare;
        view.load.addRequest(formatKey(selected), nowMs + overdueAfterMs);
        view.recordAttempt(nowMs);
        if (isTrialRequest(selected)) {
            view.trials.recordStart(nowMs);
        }
    }

    recordUnconfirmed(selected: SelectedRequest): void {
        this.paths.recordFailure(selected.upstream.ownerId, this.options.clock.getMonotonicMs());
    }

    recordReply(selected: SelectedRequest, reply: OwnerReply): void {
        const { route, service, upstream } = selected;
        const nowMs = this.options.clock.getMonotonicMs();
        const view = this.views.get(upstream.id);
        view.load.removeRequest(formatKey(selected));
        if (isTrialRequest(selected) && reply.upstream !== undefined) {
            view.trials.recordEnd(reply.code === Code.UpstreamSuspected);
        }
        if (reply.upstream !== undefined) {
            view.update(reply.upstream, nowMs);
            reply.neighbours?.forEach(state => this.views.get(state.upstreamId).update(state, nowMs));
            this.paths.recordSuccess(upstream.ownerId);
        }
        else if (reply.code >= firstHopCode && reply.code <= lastHopCode) {
            this.paths.recordFailure(upstream.ownerId, nowMs);
        }
        if (reply.code === Code.OwnerLeaving || reply.upstream?.leaving === true) {
            this.options.leaving.setLeaving(upstream.id, "reply");
        }
        if (reply.answer !== undefined && isExpected(reply.answer, route.expect)) {
            this.views.serviceLoads.record(service.name, reply.serviceMs);
            const sample = { upstreamId: upstream.id, serviceMs: reply.serviceMs, atMs: nowMs };
            this.baselines.record(service, route, sample);
        }
    }

    recordState(state: UpstreamState, nowMs: number): void {
        this.views.get(state.upstreamId).update(state, nowMs);
        if (state.leaving) {
            this.options.leaving.setLeaving(state.upstreamId, "beacon");
        }
    }

    /** States of the other upstreams of a service in the local failure domain. */
    listNeighbours(service: string, upstreamId: string): readonly UpstreamState[] {
        const { clock, failureDomain, membership } = this.options;
        const nowMs = clock.getMonotonicMs();
        const members = membership.list(service);
        const background = this.views.measureBackground(service, members, nowMs);
        return members
            .filter(upstream => upstream.failureDomain === failureDomain && upstream.id !== upstreamId)
            .flatMap(({ id }) => this.views.get(id).getState(background, nowMs) ?? []);
    }

    /**
     * The upstreams that can probably serve the request at once. When there is none, all upstreams at which
     * it has not failed: the owner of the best of them may queue it.
     */
    private findCandidates(
        request: RoutedRequest,
        excluded: ReadonlySet<string>,
        { redirected, possibleExecutions }: AttemptHistory,
        nowMs: number,
    ): Candidates {
        const { budget, membership, peerStatus } = this.options;
        const { route, service } = request;
        const members = membership.list(service.name);
        const reachable = members.filter(({ ownerId }) =>
            !this.paths.isAvoided(ownerId, route.idempotent, nowMs) && !peerStatus.isUnresponsive(ownerId)
        );
        const isRetryable = route.idempotent && possibleExecutions + 1 < route.maxAttempts;
        const context = {
            request,
            nowMs,
            canExplore: isRetryable && budget.has(service.name, explorationBudgetShare),
            isLastResort: false,
            isRetryable,
            canTry: redirected.size === 0,
            background: this.views.measureBackground(service.name, members, nowMs),
            suspicionLimit: route.idempotent
                ? suspicionLimits.idempotentLimit
                : suspicionLimits.nonIdempotentLimit,
            trialLimit: isRetryable
                ? suspicionLimits.retryableTrialLimit
                : suspicionLimits.nonRetryableTrialLimit,
        };
        const eligible = redirected.size >= maxRedirects ?
            [] :
            reachable.filter(upstream => !excluded.has(upstream.id) && this.isEligible(upstream, context));
        if (eligible.length > 0) {
            return { candidates: eligible, context };
        }
        const fallback = reachable.filter(({ id }) => !excluded.has(id) || redirected.has(id));
        // A first attempt is made even when all paths to owners seem to be down.
        const candidates = fallback.length > 0 || excluded.size > 0 ? fallback : members;
        return { candidates, context: { ...context, canExplore: false, isLastResort: true } };
    }

    private selectBest(
        candidates: readonly Upstream[],
        context: SelectionContext,
    ): { readonly upstream: Upstream; readonly loss: number; } | undefined {
        let best: Upstream | undefined;
        let bestLoss = Infinity;
        for (const candidate of candidates) {
            const loss = this.computeLoss(candidate, context);
            if (loss < bestLoss) {
                best = candidate;
                bestLoss = loss;
            }
        }
        return best === undefined ? undefined : { upstream: best, loss: bestLoss };
    }

    private computeLoss(upstream: Upstream, context: SelectionContext): number {
        const { failureDomain, random, region } = this.options;
        const { nowMs } = context;
        const view = this.views.get(upstream.id);
        const distanceLoss = upstream.failureDomain === failureDomain
            ? 0
            : upstream.region === region
            ? otherDomainLoss
            : otherRegionLoss;
        const overdue = view.load.hasOverdue(nowMs) ? overdueLoss : 0;
        return computeFaultLoss(view, context, { isLocal: distanceLoss === 0, random }) + distanceLoss +
            computeWaitLoss(view, context) +
            overdue +
            jitterLoss * random.getFloat();
    }

    /**
     * True when, as far as this entry daemon knows, a slot is free and the owner will not refuse the request.
     */
    private isEligible(upstream: Upstream, context: SelectionContext): boolean {
        const { failureDomain, random } = this.options;
        const { nowMs, suspicionLimit } = context;
        const view = this.views.get(upstream.id);
        return view.computeOccupancy(context.background, nowMs).fullProbability < fullLimit
            && (view.getFaultProbability(nowMs) <= suspicionLimit
                || isTrialDue(view, context, {
                    isLocal: upstream.failureDomain === failureDomain,
                    randomNumber: random.getFloat(),
                }));
    }

    findLoad(upstreamId: string): ObservedLoad | undefined {
        return this.views.find(upstreamId)?.load;
    }
}

function formatKey(selected: SelectedRequest): string {
    return `${selected.requestId}/${selected.attempt}`;
}
