/**
 * Sends the attempts of one request until a reply is final. An idempotent request is hedged: it is sent to a
 * second upstream when the first one is late.
 *
 * @example
 * ```ts
 * const reply = await new AttemptSequence(request, options).run();
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { KeyOwnerReader } from "../operations/key_owner_reader.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptHistory } from "../select/attempt_history.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { UpstreamSelector } from "../select/upstream_selector.ts";
import { declinedCodes } from "./declined_codes.ts";
import { EarliestReturn } from "./earliest_return.ts";
import { freeRetryCodes } from "./free_retry_codes.ts";
import { hopFailureCodes } from "./hop_failure_codes.ts";
import { IdempotentRetryPolicy } from "./idempotent_retry_policy.ts";
import { NonIdempotentRetryPolicy } from "./non_idempotent_retry_policy.ts";
import { notSentCodes } from "./not_sent_codes.ts";
import type { OwnerReply } from "./owner_reply.ts";
import { redirectCodes } from "./redirect_codes.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { StopReason } from "./stop_reason.ts";

interface Options {
    readonly selector: UpstreamSelector;
    readonly owners: KeyOwnerReader;
    readonly budget: RetryBudget;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly forward: (selected: SelectedRequest, handleUnconfirmed: () => void) => Promise<OwnerReply>;
    /** Tries to revoke an attempt whose hop failed; on success the outcome becomes `not-executed`. */
    readonly revokeAfterHopFailure: (selected: SelectedRequest, reply: OwnerReply) => Promise<OwnerReply>;
    /** Called with the reason why no further attempt is made and the number of attempts. */
    readonly handleStop?: (reason: StopReason, attempts: number) => void;
}

interface RunningAttempt {
    readonly selected: SelectedRequest;
    readonly controller: AbortController;
    readonly done: Promise<EndedAttempt>;
    /** True when the retry budget was charged for the attempt. */
    readonly isCharged: boolean;
}

interface EndedAttempt {
    readonly running: RunningAttempt;
    readonly reply: OwnerReply;
}

/** Fraction of the target of a route after which a request is hedged. */
const hedgeDelayRatio = 0.6;
/** Refusals before dispatch after which a request is not retried any more. */
const maxRefusals = 8;
/**
 * Refusals for the wait at an owner after which a retry needs no retry budget: no upstream has received the
 * request, and another owner may have a shorter queue. The bound limits the attempts while all are busy.
 */
const maxFreeWaitRefusals = 2;
const abortReason = new Error("another attempt has answered");

/** State of one request at its entry daemon. */
export class AttemptSequence implements AttemptHistory {
    private readonly running = new Set<RunningAttempt>();
    private readonly excluded = new Set<string>();
    readonly redirected = new Set<string>();
    private readonly policy: RetryPolicy;
    private readonly earliestReturn = new EarliestReturn();
    private attempts = 0;
    /** Attempts that an upstream may have run. */
    possibleExecutions = 0;
    /** Attempts that were refused before they ran. */
    private refusals = 0;
    /** Refusals of owners because of the wait. */
    private waitRefusals = 0;
    /** True when the outcome of an earlier attempt was not `not-executed`. */
    private mayHaveRun = false;
    private resolveHedgeDue: () => void = () => undefined;
    /** Resolves when the first answer is late or its owner has not confirmed the receipt. */
    private readonly hedgeDue = new Promise<undefined>(resolve => {
        this.resolveHedgeDue = () => resolve(undefined);
    });
    private isHedged = false;

    constructor(private readonly request: RoutedRequest, private readonly options: Options) {
        this.policy = request.route.idempotent ? new IdempotentRetryPolicy() : new NonIdempotentRetryPolicy();
    }

    async run(): Promise<Result<OwnerReply, Failure>> {
        const started = this.start(false);
        if (started.isErr()) {
            return err(started.error);
        }
        const hedgeTimer = this.startHedgeTimer();
        for (;;) {
            const ended = await this.waitForReply();
            if (ended === undefined) {
                this.startHedge();
                continue;
            }
            const reply = await this.recordEnd(ended);
            const reason = this.decideStop(reply, ended.running);
            if (reason !== undefined) {
                hedgeTimer?.close();
                this.cancelRunning();
                this.options.handleStop?.(reason, this.attempts);
                return ok(this.earliestReturn.apply(reply, this.options.clock.getMonotonicMs()));
            }
        }
    }

    /** Starts an attempt at the upstream that the selector prefers. */
    private start(isCharged: boolean): Result<RunningAttempt, Failure> {
        const { forward, owners, selector } = this.options;
        const result = selector.select(this.request, this.attempts + 1, this.excluded, this);
        if (result.isErr()) {
            return err(result.error);
        }
        this.attempts += 1;
        const controller = new AbortController();
        const { signal } = this.request;
        const cancel = () => controller.abort(abortReason);
        signal.addEventListener("abort", cancel, { once: true });
        if (signal.aborted) {
            cancel();
        }
        const ownerIncarnation = owners.getIncarnation(result.value.upstream.ownerId);
        const selected = {
            ...result.value,
            ownerIncarnation,
            signal: controller.signal,
            repeat: isCharged,
        };
        this.excluded.add(selected.upstream.id);
        this.possibleExecutions += 1;
        const done = forward(selected, () => this.resolveHedgeDue()).then(reply => {
            signal.removeEventListener("abort", cancel);
            return { running, reply };
        });
        const running: RunningAttempt = { selected, controller, done, isCharged };
        this.running.add(running);
        return ok(running);
    }

    /** Resolves to undefined when a hedge is due before a reply arrives. */
    private waitForReply(): Promise<EndedAttempt | undefined> {
        const replies = [...this.running].map(({ done }) => done);
        return Promise.race(this.isHedgeAllowed() ? [...replies, this.hedgeDue] : replies);
    }

    private startHedgeTimer(): Timer | undefined {
        const { idempotent, targetMs } = this.request.route;
        return idempotent && targetMs > 0
            ? this.options.timers.start(hedgeDelayRatio * targetMs, () => this.resolveHedgeDue())
            : undefined;
    }

    private isHedgeAllowed(): boolean {
        const { budget } = this.options;
        const { route, service } = this.request;
        return route.idempotent && !this.isHedged && this.running.size === 1 &&
            this.possibleExecutions < route.maxAttempts &&
            budget.has(service.name);
    }

    private startHedge(): void {
        this.isHedged = true;
        const { budget } = this.options;
        const { name } = this.request.service;
        if (budget.take(name) && this.start(true).isErr()) {
            budget.release(name);
        }
    }

    /** Records the end of an attempt and returns its reply with the outcome of the whole request. */
    private async recordEnd({ reply, running }: EndedAttempt): Promise<OwnerReply> {
        this.running.delete(running);
        const { idempotent } = this.request.route;
        const isLostAtHop = !idempotent && reply.outcome === Outcome.Unknown &&
            hopFailureCodes.has(reply.code);
        const checkedReply = isLostAtHop
            ? await this.options.revokeAfterHopFailure(running.selected, reply)
            : reply;
        this.earliestReturn.record(checkedReply, this.options.clock.getMonotonicMs());
        if (notSentCodes.has(checkedReply.code) || declinedCodes.has(checkedReply.code)) {
            this.possibleExecutions -= 1;
            this.refusals += 1;
        }
        this.waitRefusals += checkedReply.code === Code.WaitTooLong ? 1 : 0;
        if (redirectCodes.has(checkedReply.code)) {
            this.redirected.add(running.selected.upstream.id);
        }
        else {
            this.redirected.delete(running.selected.upstream.id);
        }
        if (notSentCodes.has(checkedReply.code) && running.isCharged) {
            this.options.budget.release(this.request.service.name);
        }
        // An earlier attempt of an idempotent request may have run.
        const result = this.mayHaveRun && checkedReply.outcome === Outcome.NotExecuted
            ? { ...checkedReply, outcome: Outcome.Unknown }
            : checkedReply;
        this.mayHaveRun ||= checkedReply.outcome !== Outcome.NotExecuted;
        return result;
    }

    /** Undefined when another attempt is running or was started; otherwise the reply is final. */
    private decideStop(reply: OwnerReply, ended: RunningAttempt): StopReason | undefined {
        const { budget, clock } = this.options;
        const { deadlineMs, route, service, signal } = this.request;
        if (!this.policy.isRetryable(reply)) {
            return reply.code === Code.Ok ? StopReason.Answered : StopReason.NotRetryable;
        }
        if (signal.aborted) {
            return StopReason.CallerLeft;
        }
        if (clock.getMonotonicMs() >= deadlineMs) {
            return StopReason.Deadline;
        }
        if (this.running.size > 0) {
            return undefined;
        }
        if (this.possibleExecutions >= route.maxAttempts) {
            return StopReason.Executions;
        }
        if (this.refusals >= maxRefusals) {
            return StopReason.Refusals;
        }
        // A charged attempt with such a code has returned its charge, so its retry is charged again.
        const isFreeRetry = this.isFreeRetry(reply) && !ended.isCharged;
        if (!isFreeRetry && !budget.take(service.name)) {
            return StopReason.Budget;
        }
        return this.start(!isFreeRetry).isErr() ? StopReason.NoUpstream : undefined;
    }

    private isFreeRetry({ code }: OwnerReply): boolean {
        return freeRetryCodes.has(code) ||
            (code === Code.WaitTooLong && this.waitRefusals <= maxFreeWaitRefusals);
    }

    private cancelRunning(): void {
        for (const { controller } of this.running) {
            controller.abort(abortReason);
        }
    }
}
