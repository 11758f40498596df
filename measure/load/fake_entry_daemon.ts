/**
 * Path of a request from the entry daemon to the upstream and back, with the real filters under measurement and
 * fakes for selection, hop and upstream.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { RetryBudget } from "../../src/forward/retry_budget.ts";
import type { ScheduledRequest } from "../../src/queue/scheduled_request.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { FakeUpstream } from "./fake_upstream.ts";
import type { LoadResult } from "./load_result.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { OwnerQueue } from "./owner_queue.ts";
import { TwoChoiceSelector } from "./two_choice_selector.ts";

/** Attempts of a request that an owner may redirect; the last attempt always waits. */
const redirectableAttempts = 2;
/** Attempts of an entry daemon for one request, including the first. */
const maxAttempts = 3;

/** Options of `FakeEntryDaemon`. */
interface FakeEntryDaemonOptions {
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly scenario: LoadScenario;
    readonly admit: Filter<RoutedRequest, RoutedRequest>;
    readonly budget: RetryBudget;
    readonly owners: ReadonlyMap<string, { readonly queue: OwnerQueue; readonly upstream: FakeUpstream; }>;
    readonly cancels: boolean;
    readonly redirects: boolean;
    readonly result: LoadResult;
    /** Identifiers of the requests that an upstream has executed, at least in part. */
    readonly started: Set<string>;
}

/** An entry daemon with the real admission filter and retry budget and a fake selector. */
export class FakeEntryDaemon {
    private readonly selector: TwoChoiceSelector;

    constructor(private readonly options: FakeEntryDaemonOptions) {
        this.selector = new TwoChoiceSelector(options.random, [...options.owners.keys()]);
    }

    /** Sends a request; `demandMs` is its service time at full speed. */
    async run(request: RoutedRequest, demandMs: number, stream: string): Promise<Result<void, Failure>> {
        const { budget, time } = this.options;
        const admitted = await this.options.admit.apply(request);
        if (admitted.isErr()) {
            return err(admitted.error);
        }
        budget.add(request.service.name, request.service.limits.retryPercent);
        const excluded = new Set<string>();
        let lastResult: Result<void, Failure> = err(createFailure(Code.NoUpstream));
        for (let attempt = 1; attempt <= maxAttempts; attempt++) {
            const id = this.selector.select(request.route.workClass, request.route.serviceMs, excluded);
            if (id === undefined) {
                return lastResult;
            }
            excluded.add(id);
            this.selector.recordStart(id, request.route.workClass);
            lastResult = await this.forward(request, attempt, id, demandMs, stream);
            if (lastResult.isErr() && lastResult.error.code === Code.RetryElsewhere) {
                continue;
            }
            const retryable = lastResult.isErr()
                && (lastResult.error.outcome === Outcome.NotExecuted || request.route.idempotent);
            const inTime = time.getMonotonicMs() < request.deadlineMs && !request.signal.aborted;
            if (!retryable || !inTime || attempt === maxAttempts || !budget.take(request.service.name)) {
                return lastResult;
            }
        }
        return lastResult;
    }

    private async forward(
        request: RoutedRequest,
        attempt: number,
        upstreamId: string,
        demandMs: number,
        stream: string,
    ): Promise<Result<void, Failure>> {
        const { scenario, time, owners, result } = this.options;
        const { queue } = owners.get(upstreamId)!;
        if (this.isMeasured()) {
            result.attempts += 1;
        }
        await this.wait(scenario.hopMs);
        const queued = await queue.apply({
            ...request,
            attempt,
            upstreamId,
            receivedAtMs: time.getMonotonicMs(),
            baselineMs: 0,
            trial: false,
            redirectable: this.options.redirects && attempt <= redirectableAttempts,
        });
        const forwarded = queued.isErr()
            ? err(queued.error)
            : await this.sendUpstream(
                queued.value,
                demandMs,
                stream,
                time.getMonotonicMs() - request.receivedAtMs - scenario.hopMs,
            );
        const state = queue.getState(upstreamId);
        result.maxQueued = Math.max(result.maxQueued, (state?.queuedShort ?? 0) + (state?.queuedLong ?? 0));
        await this.wait(scenario.hopMs);
        this.selector.recordReply(upstreamId, request.route.workClass, state);
        return forwarded;
    }

    private async sendUpstream(
        queued: ScheduledRequest,
        demandMs: number,
        stream: string,
        waitMs: number,
    ): Promise<Result<void, Failure>> {
        const { time, owners, cancels, result, started } = this.options;
        const measured = this.isMeasured();
        if (measured) {
            const waits = result.waitsMs.get(stream) ?? [];
            waits.push(waitMs);
            result.waitsMs.set(stream, waits);
        }
        const timeoutMs = cancels ? queued.deadlineMs - time.getMonotonicMs() : Infinity;
        const sent = await owners.get(queued.upstreamId)!.upstream.send(demandMs, timeoutMs);
        queued.permit.close(sent.serviceMs, sent.shed);
        if (sent.shed) {
            return err(createFailure(Code.UpstreamShed));
        }
        started.add(queued.requestId);
        const inTime = sent.kind === UpstreamResultKind.Answered &&
            time.getMonotonicMs() <= queued.deadlineMs;
        if (measured) {
            result.slotMs[inTime ? "useful" : "expired"] += sent.serviceMs;
        }
        return sent.kind === UpstreamResultKind.Answered ? ok() : err(createFailure(Code.UpstreamTimeout));
    }

    private isMeasured(): boolean {
        const { time, scenario } = this.options;
        const atMs = time.getMonotonicMs() - scenario.warmUpMs;
        return atMs >= 0 && atMs < scenario.measuredMs;
    }

    private wait(delayMs: number): Promise<void> {
        return new Promise(resolve => this.options.time.start(delayMs, resolve));
    }
}
