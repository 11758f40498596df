/**
 * Sends the attempts of one request until a reply is final. An idempotent request is sent to a second upstream
 * when the first one is late and the hedging policy allows it, or when an owner has not confirmed the receipt.
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
import type { Timers } from "../core/timers.ts";
import type { KeyOwnerReader } from "../operations/key_owner_reader.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptHistory } from "../select/attempt_history.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { UpstreamSelector } from "../select/upstream_selector.ts";
import { declinedCodes } from "./declined_codes.ts";
import { EarliestReturn } from "./earliest_return.ts";
import { freeRetryCodes } from "./free_retry_codes.ts";
import { HedgeEvent } from "./hedge_event.ts";
import { HedgeTrigger } from "./hedge_trigger.ts";
import { HedgeVerdict } from "./hedge_verdict.ts";
import type { HedgingPolicy } from "./hedging_policy.ts";
import { hopFailureCodes } from "./hop_failure_codes.ts";
import { IdempotentRetryPolicy } from "./idempotent_retry_policy.ts";
import { NonIdempotentRetryPolicy } from "./non_idempotent_retry_policy.ts";
import { notSentCodes } from "./not_sent_codes.ts";
import type { OwnerReply } from "./owner_reply.ts";
import { redirectCodes } from "./redirect_codes.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import type { RunningAttempt } from "./running_attempt.ts";
import { SecondAttemptCause } from "./second_attempt_cause.ts";
import { StopReason } from "./stop_reason.ts";

interface Options {
    readonly selector: UpstreamSelector;
    readonly owners: KeyOwnerReader;
    readonly budget: RetryBudget;
    readonly hedging: HedgingPolicy;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly forward: (selected: SelectedRequest, handleUnconfirmed: () => void) => Promise<OwnerReply>;
    /** Tries to revoke an attempt whose hop failed; on success the outcome becomes `not-executed`. */
    readonly revokeAfterHopFailure: (selected: SelectedRequest, reply: OwnerReply) => Promise<OwnerReply>;
    /** Called with the reason why no further attempt is made and the number of attempts. */
    readonly handleStop?: (reason: StopReason, attempts: number) => void;
    /** Called with what happens to a hedge and, for one that is refused, the bound. */
    readonly handleHedge?: (event: HedgeEvent, verdict: HedgeVerdict) => void;
}

type EndedAttempt = Awaited<RunningAttempt["done"]>;

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
    private readonly trigger: HedgeTrigger;
    /** True when a second attempt was started beside another one. */
    private hasSecondAttempt = false;
    /** The attempt that was sent because the earlier one was late. */
    private hedge: RunningAttempt | undefined;

    constructor(private readonly request: RoutedRequest, private readonly options: Options) {
        this.policy = request.route.idempotent ? new IdempotentRetryPolicy() : new NonIdempotentRetryPolicy();
        this.trigger = new HedgeTrigger(options.timers);
    }

    async run(): Promise<Result<OwnerReply, Failure>> {
        const started = this.startNext(undefined);
        if (started.isErr()) {
            return err(started.error);
        }
        for (;;) {
            const ended = await this.waitForReply();
            if (typeof ended === "string") {
                this.handleDue(ended);
                continue;
            }
            const reply = await this.recordEnd(ended);
            // A refusal of one attempt does not end the other one.
            if (ended.reply.outcome === Outcome.NotExecuted && this.running.size > 0) {
                continue;
            }
            const reason = this.decideStop(reply, ended.running);
            if (reason !== undefined) {
                this.trigger.close();
                this.reportHedge(reply, ended.running);
                this.cancelRunning();
                this.options.handleStop?.(reason, this.attempts);
                return ok(this.earliestReturn.apply(reply, this.options.clock.getMonotonicMs()));
            }
        }
    }

    /** Starts an attempt while no other one runs. */
    private startNext(releaseCharge: (() => void) | undefined): Result<RunningAttempt, Failure> {
        const { clock, hedging } = this.options;
        const started = this.start(releaseCharge);
        if (started.isOk()) {
            const { upstream } = started.value.selected;
            this.trigger.start(hedging.computeDelayMs(this.request, upstream.id, clock.getMonotonicMs()));
        }
        return started;
    }

    /** Starts an attempt at the upstream that the selector prefers. */
    private start(releaseCharge: (() => void) | undefined): Result<RunningAttempt, Failure> {
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
            repeat: releaseCharge !== undefined,
        };
        this.excluded.add(selected.upstream.id);
        this.possibleExecutions += 1;
        const done = forward(selected, () => this.trigger.handleUnconfirmed()).then(reply => {
            signal.removeEventListener("abort", cancel);
            return { running, reply };
        });
        const running: RunningAttempt = { selected, controller, done, releaseCharge };
        this.running.add(running);
        return ok(running);
    }

    /** Resolves to a cause when a second attempt is due before a reply arrives. */
    private waitForReply(): Promise<EndedAttempt | SecondAttemptCause> {
        const replies = [...this.running].map(({ done }) => done);
        return Promise.race(this.isSecondAllowed() ? [...replies, this.trigger.wait()] : replies);
    }

    private isSecondAllowed(): boolean {
        const { route } = this.request;
        return route.idempotent && !this.hasSecondAttempt && this.running.size === 1 &&
            this.possibleExecutions < route.maxAttempts;
    }

    /** Starts a second attempt if the bound for its cause allows it. */
    private handleDue(cause: SecondAttemptCause): void {
        const { budget, clock, hedging } = this.options;
        const { name } = this.request.service;
        this.trigger.start(undefined);
        if (cause === SecondAttemptCause.Unconfirmed) {
            if (budget.take(name)) {
                this.startSecond(() => budget.release(name));
            }
            return;
        }
        const verdict = hedging.take(this.request, clock.getMonotonicMs());
        if (verdict !== HedgeVerdict.Allowed) {
            this.options.handleHedge?.(HedgeEvent.Refused, verdict);
            return;
        }
        this.hedge = this.startSecond(() => hedging.release(this.request, clock.getMonotonicMs()));
        if (this.hedge !== undefined) {
            this.options.handleHedge?.(HedgeEvent.Sent, verdict);
        }
    }

    private startSecond(releaseCharge: () => void): RunningAttempt | undefined {
        this.hasSecondAttempt = true;
        const started = this.start(releaseCharge);
        if (started.isErr()) {
            releaseCharge();
        }
        return started.unwrapOr(undefined);
    }

    /** Records the end of an attempt and returns its reply with the outcome of the whole request. */
    private async recordEnd({ reply, running }: EndedAttempt): Promise<OwnerReply> {
        this.running.delete(running);
        const isLostAtHop = !this.request.route.idempotent && reply.outcome === Outcome.Unknown &&
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
        if (notSentCodes.has(checkedReply.code)) {
            running.releaseCharge?.();
        }
        // Another attempt of an idempotent request may have run, or may be running.
        const result =
            (this.mayHaveRun || this.running.size > 0) && checkedReply.outcome === Outcome.NotExecuted
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
        const isFreeRetry = this.isFreeRetry(reply) && ended.releaseCharge === undefined;
        if (!isFreeRetry && !budget.take(service.name)) {
            return StopReason.Budget;
        }
        const releaseCharge = isFreeRetry ? undefined : () => budget.release(service.name);
        return this.startNext(releaseCharge).isErr() ? StopReason.NoUpstream : undefined;
    }

    private isFreeRetry({ code }: OwnerReply): boolean {
        return freeRetryCodes.has(code) ||
            (code === Code.WaitTooLong && this.waitRefusals <= maxFreeWaitRefusals);
    }

    private reportHedge(reply: OwnerReply, ended: RunningAttempt): void {
        if (this.hedge === undefined || reply.code !== Code.Ok) {
            return;
        }
        if (ended === this.hedge) {
            this.options.handleHedge?.(HedgeEvent.Won, HedgeVerdict.Allowed);
        }
        else if (this.running.has(this.hedge)) {
            this.options.handleHedge?.(HedgeEvent.Cancelled, HedgeVerdict.Allowed);
        }
    }

    private cancelRunning(): void {
        for (const { controller } of this.running) {
            controller.abort(abortReason);
        }
    }
}
