/**
 * The attempts of one request: sends it to owners until one reply stands, and sends idempotent work to a second
 * upstream when the first one is late.
 *
 * @example
 * ```ts
 * const reply = await new AttemptRun(request, options).run();
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { KeyOwnerReader } from "../operations/key_owner_reader.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AttemptProgress } from "../select/attempt_progress.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { UpstreamSelector } from "../select/upstream_selector.ts";
import { hopCodes } from "./hop_codes.ts";
import { IdempotentRetryPolicy } from "./idempotent_retry_policy.ts";
import type { OwnerReply } from "./owner_reply.ts";
import { redirectCodes } from "./redirect_codes.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { SingleRunRetryPolicy } from "./single_run_retry_policy.ts";
import { unloadedCodes } from "./unloaded_codes.ts";
import { unrunCodes } from "./unrun_codes.ts";
import { unsentCodes } from "./unsent_codes.ts";

interface Options {
    readonly selector: UpstreamSelector;
    readonly owners: KeyOwnerReader;
    readonly budget: RetryBudget;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly forward: (selected: SelectedRequest, handleUnconfirmed: () => void) => Promise<OwnerReply>;
    /** Finds out whether an attempt whose hop failed can still be dispatched. */
    readonly revokeLost: (selected: SelectedRequest, reply: OwnerReply) => Promise<OwnerReply>;
}

interface Running {
    readonly selected: SelectedRequest;
    readonly controller: AbortController;
    readonly done: Promise<Ended>;
    /** True when the retry budget was charged for the attempt. */
    readonly isRepeat: boolean;
}

interface Ended {
    readonly running: Running;
    readonly reply: OwnerReply;
}

/** Share of the target of a route after which an answer counts as late. */
const lateShare = 0.6;
/** Refusals before dispatch that one request goes on after. */
const maxRefusals = 8;
const abortReason = new Error("another attempt has answered");

/** State of one request at its entry daemon. */
export class AttemptRun implements AttemptProgress {
    private readonly running = new Set<Running>();
    private readonly excluded = new Set<string>();
    readonly redirected = new Set<string>();
    private readonly policy: RetryPolicy;
    private attempts = 0;
    /** Attempts that an upstream may have run. */
    sends = 0;
    private refusals = 0;
    private uncertain = false;
    private resolveLate: () => void = () => undefined;
    /** Resolves when the first answer is late or its owner has not confirmed the receipt. */
    private readonly late = new Promise<undefined>(resolve => {
        this.resolveLate = () => resolve(undefined);
    });
    private hasSecond = false;

    constructor(private readonly request: RoutedRequest, private readonly options: Options) {
        this.policy = request.route.idempotent ? new IdempotentRetryPolicy() : new SingleRunRetryPolicy();
    }

    async run(): Promise<Result<OwnerReply, Failure>> {
        const started = this.start(false);
        if (started.isErr()) {
            return err(started.error);
        }
        const lateTimer = this.startLateTimer();
        for (;;) {
            const ended = await this.waitForReply();
            if (ended === undefined) {
                this.startSecond();
                continue;
            }
            const reply = await this.recordEnd(ended);
            if (this.isFinal(reply, ended.running)) {
                lateTimer?.close();
                this.cancelRunning();
                return ok(reply);
            }
        }
    }

    /** Starts an attempt at the upstream that the selector prefers. */
    private start(isRepeat: boolean): Result<Running, Failure> {
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
        const selected = { ...result.value, ownerIncarnation, signal: controller.signal };
        this.excluded.add(selected.upstream.id);
        this.sends += 1;
        const done = forward(selected, () => this.resolveLate()).then(reply => {
            signal.removeEventListener("abort", cancel);
            return { running, reply };
        });
        const running: Running = { selected, controller, done, isRepeat };
        this.running.add(running);
        return ok(running);
    }

    /** Undefined when an answer is late first. */
    private waitForReply(): Promise<Ended | undefined> {
        const replies = [...this.running].map(({ done }) => done);
        return Promise.race(this.isSecondAllowed() ? [...replies, this.late] : replies);
    }

    private startLateTimer(): Timer | undefined {
        const { idempotent, targetMs } = this.request.route;
        return idempotent && targetMs > 0
            ? this.options.timers.start(lateShare * targetMs, () => this.resolveLate())
            : undefined;
    }

    private isSecondAllowed(): boolean {
        const { budget } = this.options;
        const { route, service } = this.request;
        return route.idempotent && !this.hasSecond && this.running.size === 1 &&
            this.sends < route.maxAttempts &&
            budget.has(service.name);
    }

    private startSecond(): void {
        this.hasSecond = true;
        const { budget } = this.options;
        const { name } = this.request.service;
        if (budget.take(name) && this.start(true).isErr()) {
            budget.release(name);
        }
    }

    /** Ends an attempt and returns its reply with what the request as a whole allows to say. */
    private async recordEnd({ reply, running }: Ended): Promise<OwnerReply> {
        this.running.delete(running);
        const { idempotent } = this.request.route;
        const lost = !idempotent && reply.outcome === Outcome.Unknown && hopCodes.has(reply.code);
        const known = lost ? await this.options.revokeLost(running.selected, reply) : reply;
        if (unsentCodes.has(known.code) || unrunCodes.has(known.code)) {
            this.sends -= 1;
            this.refusals += 1;
        }
        if (redirectCodes.has(known.code)) {
            this.redirected.add(running.selected.upstream.id);
        }
        else {
            this.redirected.delete(running.selected.upstream.id);
        }
        if (unsentCodes.has(known.code) && running.isRepeat) {
            this.options.budget.release(this.request.service.name);
        }
        // An earlier attempt of idempotent work may have run.
        const told = this.uncertain && known.outcome === Outcome.NotExecuted
            ? { ...known, outcome: Outcome.Unknown }
            : known;
        this.uncertain ||= known.outcome !== Outcome.NotExecuted;
        return told;
    }

    /** Starts the next attempt unless the reply stands. */
    private isFinal(reply: OwnerReply, ended: Running): boolean {
        const { budget, clock } = this.options;
        const { deadlineMs, route, service, signal } = this.request;
        if (!this.policy.isRetryable(reply) || signal.aborted || clock.getMonotonicMs() >= deadlineMs) {
            return true;
        }
        if (this.running.size > 0) {
            return false;
        }
        if (this.sends >= route.maxAttempts || this.refusals >= maxRefusals) {
            return true;
        }
        // A refusal before dispatch leaves the budget as it was for the attempt that follows.
        const isFree = unloadedCodes.has(reply.code) && !ended.isRepeat;
        if (!isFree && !budget.take(service.name)) {
            return true;
        }
        return this.start(!isFree).isErr();
    }

    private cancelRunning(): void {
        for (const { controller } of this.running) {
            controller.abort(abortReason);
        }
    }
}
