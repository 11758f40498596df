/**
 * Sends a request to owners of upstreams until a reply is final: selects an upstream, forwards the attempt,
 * and retries while that is safe, the retry budget allows it and time is left.
 *
 * @example
 * ```ts
 * const entry = Pipeline.start(routeFilter).pipe(admitFilter).pipe(new AttemptFilter(options));
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import type { Timers } from "../core/timers.ts";
import type { LeavingRecorder } from "../membership/leaving_recorder.ts";
import type { IdempotencyKey } from "../operations/idempotency_key.ts";
import type { KeyOwnerReader } from "../operations/key_owner_reader.ts";
import type { KeyOwnerRecorder } from "../operations/key_owner_recorder.ts";
import type { KeyedSelector } from "../operations/keyed_selector.ts";
import { parseKey } from "../operations/parse_key.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { UpstreamSelector } from "../select/upstream_selector.ts";
import type { AttemptExchanger } from "./attempt_exchanger.ts";
import type { AttemptObserver } from "./attempt_observer.ts";
import { AttemptSequence } from "./attempt_sequence.ts";
import { buildOwnerReply } from "./build_owner_reply.ts";
import { freeRetryCodes } from "./free_retry_codes.ts";
import type { HedgingPolicy } from "./hedging_policy.ts";
import { hopFailureCodes } from "./hop_failure_codes.ts";
import { KeyedRetryPolicy } from "./keyed_retry_policy.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { RevokeState } from "./revoke_state.ts";
import { unansweredCodes } from "./unanswered_codes.ts";

interface Options {
    readonly selector: UpstreamSelector;
    readonly keyedSelector: KeyedSelector;
    readonly owners: KeyOwnerReader & KeyOwnerRecorder;
    readonly exchanger: AttemptExchanger;
    readonly budget: RetryBudget;
    readonly hedging: HedgingPolicy;
    readonly leaving: LeavingRecorder;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly observer?: AttemptObserver;
    /** Requests that run again at upstreams of this daemon. */
    readonly repeatedRuns?: { has(requestId: string): boolean; };
}

/** Retries a request while that is safe. */
export class AttemptFilter implements Filter<RoutedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        const { budget, clock, hedging } = this.options;
        hedging.add(request, clock.getMonotonicMs());
        const { idempotencyKey, parentRequestId, route, service } = request;
        if (parentRequestId !== undefined && this.options.repeatedRuns?.has(parentRequestId) === true) {
            // A repeat allows no further repeats.
            budget.addRepeat(service.name);
        }
        else {
            budget.add(service.name, service.limits.retryPercent);
        }
        if (route.idempotent || idempotencyKey === undefined) {
            return this.runUnkeyed({ ...request, idempotencyKey: undefined });
        }
        const key = parseKey(idempotencyKey);
        return key.isErr() ? err(key.error) : this.runKeyed(request, key.value);
    }

    private runUnkeyed(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        return new AttemptSequence(request, {
            ...this.options,
            forward: (selected, handleUnconfirmed) => this.forward(selected, handleUnconfirmed),
            revokeAfterHopFailure: (selected, reply) => this.revokeAfterHopFailure(selected, reply),
            handleStop: (reason, attempts) => this.options.observer?.recordStop(request, reason, attempts),
            handleHedge: (event, verdict) => this.options.observer?.recordHedge(request, event, verdict),
        }).run();
    }

    private async runKeyed(
        request: RoutedRequest,
        key: IdempotencyKey,
    ): Promise<Result<OwnerReply, Failure>> {
        const { keyedSelector, exchanger } = this.options;
        const policy = new KeyedRetryPolicy();
        for (let attempt = 1;; attempt += 1) {
            const selection = keyedSelector.select(request, key, attempt);
            if (selection.isErr()) {
                return err(selection.error);
            }
            const { selected, preferred } = selection.value;
            // The owner closes a key that it has not seen, and the caller can use a key of a healthy owner.
            if (!preferred && await exchanger.revoke(selected) === RevokeState.Revoked) {
                const identity = { ownerId: key.ownerId, incarnation: key.incarnation };
                return ok(buildOwnerReply(identity, selected, { code: Code.KeyClosed, keyRecorded: true }));
            }
            const reply = await this.forward(selected);
            if (!this.isRetryable(selected, reply, policy)) {
                return ok(reply);
            }
        }
    }

    private async forward(selected: SelectedRequest, handleUnconfirmed?: () => void): Promise<OwnerReply> {
        const { selector, exchanger, leaving, clock, owners } = this.options;
        const startMs = clock.getMonotonicMs();
        selector.recordStart(selected);
        const reply = await exchanger.forward(selected, () => {
            selector.recordUnconfirmed(selected);
            handleUnconfirmed?.();
        });
        const roundTripMs = clock.getMonotonicMs() - startMs;
        selector.recordReply(selected, reply, roundTripMs);
        this.recordAnswerTime(selected, reply, roundTripMs);
        this.options.observer?.recordAttempt(selected, reply, { startMs, roundTripMs });
        if (reply.incarnation !== "" && !hopFailureCodes.has(reply.code)) {
            owners.setIncarnation({ ownerId: reply.ownerId, incarnation: reply.incarnation });
        }
        if (reply.code === Code.OwnerLeaving || reply.upstream?.leaving === true) {
            leaving.setLeaving(selected.upstream.id, "reply");
        }
        // Another copy of the request with the same key may have run.
        const hasUnknownOutcome = selected.idempotencyKey !== undefined && reply.keyRecorded !== true
            && reply.outcome === Outcome.NotExecuted;
        return hasUnknownOutcome ? { ...reply, outcome: Outcome.Unknown } : reply;
    }

    /** A refusal and a failure tell nothing about the time to an answer. */
    private recordAnswerTime(selected: SelectedRequest, reply: OwnerReply, durationMs: number): void {
        const { clock, hedging } = this.options;
        if (!selected.route.idempotent) {
            return;
        }
        const nowMs = clock.getMonotonicMs();
        if (reply.code === Code.Ok) {
            hedging.recordAnswer(selected, selected.upstream.id, durationMs, nowMs);
        }
        else if (unansweredCodes.has(reply.code) && reply.outcome !== Outcome.NotExecuted) {
            hedging.recordUnanswered(selected, selected.upstream.id, durationMs, nowMs);
        }
    }

    /** After a hop failure the attempt may still be in the queue of the owner, where it can be revoked. */
    private async revokeAfterHopFailure(selected: SelectedRequest, reply: OwnerReply): Promise<OwnerReply> {
        const state = await this.options.exchanger.revoke(selected);
        return state === RevokeState.Revoked ? { ...reply, outcome: Outcome.NotExecuted } : reply;
    }

    private isRetryable(selected: SelectedRequest, reply: OwnerReply, policy: RetryPolicy): boolean {
        const { clock, budget } = this.options;
        return policy.isRetryable(reply) && selected.attempt < selected.route.maxAttempts &&
            !selected.signal.aborted
            && clock.getMonotonicMs() < selected.deadlineMs
            && (freeRetryCodes.has(reply.code) || budget.take(selected.service.name));
    }
}
