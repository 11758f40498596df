/**
 * Sends a request that holds a slot to its upstream, after the last checks. A refusal is returned as a value
 * and not as an error, so that the settle filter always runs and the slot is always released.
 *
 * @example
 * ```ts
 * const owner = Pipeline.start(queueFilter).pipe(new DispatchFilter(options)).pipe(settleFilter);
 * ```
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { DaemonStateReader } from "../lifecycle/daemon_state_reader.ts";
import type { DispatchGate } from "../operations/dispatch_gate.ts";
import type { ScheduledRequest } from "../queue/scheduled_request.ts";
import type { DispatchCheck } from "./dispatch_check.ts";
import type { DispatchedRequest } from "./dispatched_request.ts";
import type { ExchangeObserver } from "./exchange_observer.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { UpstreamClient } from "./upstream_client.ts";

interface Options {
    readonly client: UpstreamClient;
    readonly clock: Clock;
    readonly daemonState: DaemonStateReader;
    readonly gate: DispatchGate;
    readonly pauses: PauseGuard;
    readonly observer: ExchangeObserver;
    /** Further checks, in order. */
    readonly checks?: readonly DispatchCheck[];
}

/** Dispatches an attempt at most once. */
export class DispatchFilter implements Filter<ScheduledRequest, DispatchedRequest> {
    constructor(private readonly options: Options) {}

    async apply(request: ScheduledRequest): Promise<Result<DispatchedRequest, Failure>> {
        const { client, clock, pauses, observer } = this.options;
        // Timers run before sockets are read after a pause, so a revocation may still be waiting in a socket.
        while (pauses.isResuming()) {
            await pauses.wait();
        }
        const refusal = this.check(request);
        if (refusal !== undefined) {
            return ok({ ...request, result: undefined, refusal, serviceMs: 0 });
        }
        const startMs = clock.getMonotonicMs();
        // Cancelling non-idempotent work at the upstream would leave its outcome unknown.
        const signal = request.route.idempotent ? request.signal : new AbortController().signal;
        observer.start(request);
        const result = await client.send(request, request.deadlineMs - startMs, signal);
        return ok({ ...request, result, refusal: undefined, serviceMs: clock.getMonotonicMs() - startMs });
    }

    private check(request: ScheduledRequest): Failure | undefined {
        const { clock, daemonState, gate } = this.options;
        const state = daemonState.getState();
        if (state === DaemonState.Draining || state === DaemonState.Closed) {
            return createFailure(Code.OwnerLeaving);
        }
        if (clock.getMonotonicMs() >= request.deadlineMs) {
            return createFailure(Code.DeadlineExceeded, {
                outcome: Outcome.NotExecuted,
                detail: "the deadline passed before dispatch",
            });
        }
        for (const check of this.options.checks ?? []) {
            const failure = check.check(request, request.waitMs);
            if (failure !== undefined) {
                return failure;
            }
        }
        return gate.recordDispatch(request).match(() => undefined, failure => failure);
    }
}
