/**
 * Decides the result of an exchange, reports it to the observer, releases the slot and builds the reply.
 *
 * @example
 * ```ts
 * const settle = new SettleFilter({ identity, observer, states });
 * const owner = Pipeline.start(queueFilter).pipe(dispatchFilter).pipe(settle);
 * ```
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { DispatchedRequest } from "../dispatch/dispatched_request.ts";
import type { ExchangeObserver } from "../dispatch/exchange_observer.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import { decideAttemptResult } from "./decide_attempt_result.ts";
import type { UpstreamStateBuilder } from "./upstream_state_builder.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly observer: ExchangeObserver;
    readonly states: UpstreamStateBuilder;
}

/** Completes an attempt at its owner. */
export class SettleFilter implements Filter<DispatchedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    apply(request: DispatchedRequest): Result<OwnerReply, Failure> {
        const { identity, observer, states } = this.options;
        const { result, refusal, serviceMs, waitMs } = request;
        observer.record(request);
        if (result === undefined) {
            request.permit.close(undefined);
            const upstream = states.build(request.upstreamId);
            return ok(buildOwnerReply(identity, request, { ...refusal!, waitMs, upstream }));
        }
        const { shed, ...attemptResult } = decideAttemptResult(request.route, result);
        // The time until a cancellation is no service time.
        const isMeasured = result.kind !== UpstreamResultKind.NotSent
            && result.kind !== UpstreamResultKind.Cancelled;
        request.permit.close(isMeasured ? serviceMs : undefined, shed);
        const answer = shed ? undefined : result.answer;
        const upstream = states.build(request.upstreamId);
        return ok(
            buildOwnerReply(identity, request, { ...attemptResult, answer, serviceMs, waitMs, upstream }),
        );
    }
}
