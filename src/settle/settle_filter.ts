/**
 * Judges the upstream's response, releases the slot, records the evidence and builds the reply.
 *
 * @example
 * ```ts
 * const settle = new SettleFilter({ identity, clock, evidence, states });
 * const owner = Pipeline.start(queueFilter).pipe(dispatchFilter).pipe(settle);
 * ```
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { DispatchedRequest } from "../dispatch/dispatched_request.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { EvidenceRecorder } from "../health/evidence_recorder.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import { decideVerdict } from "./decide_verdict.ts";
import type { UpstreamStateBuilder } from "./upstream_state_builder.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly clock: Clock;
    readonly evidence: EvidenceRecorder;
    readonly states: UpstreamStateBuilder;
}

/** Ends an attempt at its owner. */
export class SettleFilter implements Filter<DispatchedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    apply(request: DispatchedRequest): Result<OwnerReply, Failure> {
        const { identity, clock, evidence, states } = this.options;
        const { result, refusal, serviceMs, waitMs } = request;
        const notSent = result === undefined || result.kind === UpstreamResultKind.NotSent;
        request.lease.close(notSent ? undefined : serviceMs);
        if (result === undefined) {
            const upstream = states.build(request.upstreamId);
            return ok(buildOwnerReply(identity, request, { ...refusal!, waitMs, upstream }));
        }
        const { expected, shed, ...verdict } = decideVerdict(request.route, result);
        // A shed request tells of load and a cancelled one of its caller; neither tells of a fault.
        if (!shed && result.kind !== UpstreamResultKind.Cancelled) {
            evidence.record({
                upstreamId: request.upstreamId,
                service: request.service.name,
                kind: result.kind,
                expected,
                serviceMs,
                baselineMs: request.baselineMs,
                trial: request.trial,
                atMs: clock.getMonotonicMs(),
            });
        }
        const answer = shed ? undefined : result.answer;
        const upstream = states.build(request.upstreamId);
        return ok(buildOwnerReply(identity, request, { ...verdict, answer, serviceMs, waitMs, upstream }));
    }
}
