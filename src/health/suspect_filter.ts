/**
 * Keeps work away from an owned upstream that probably has a fault, on arrival and again when it has waited for a slot,
 * and lets one idempotent request at a time through to learn when the fault is over.
 *
 * @example
 * ```ts
 * const suspects = new SuspectFilter({ clock, faults });
 * const owner = Pipeline.start(suspects).pipe(queueFilter).pipe(dispatchFilter);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { DispatchCheck } from "../dispatch/dispatch_check.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { FaultReader } from "./fault_reader.ts";
import { suspicion } from "./suspicion.ts";

interface Options {
    readonly clock: Clock;
    readonly faults: FaultReader;
}

/** Refuses with UpstreamSuspected, which is not executed. */
export class SuspectFilter implements Filter<OwnerRequest, OwnerRequest>, DispatchCheck {
    private readonly trialAtMs = new Map<string, number>();

    constructor(private readonly options: Options) {}

    apply(request: OwnerRequest): Result<OwnerRequest, Failure> {
        const { upstreamId, route } = request;
        const probability = this.options.faults.getFaultProbability(upstreamId);
        if (!isAbove(request, probability)) {
            return ok(request);
        }
        const nowMs = this.options.clock.getMonotonicMs();
        const trialLimit = route.idempotent ? suspicion.repeatableTrialLimit : suspicion.singleTrialLimit;
        const isTrial = probability <= trialLimit && request.redirectable === true
            && nowMs - (this.trialAtMs.get(upstreamId) ?? -Infinity) >= suspicion.trialMs;
        if (!isTrial) {
            return err(createSuspectFailure(probability));
        }
        this.trialAtMs.set(upstreamId, nowMs);
        return ok(request);
    }

    /** For work that has waited: its upstream may have begun to fail meanwhile. */
    check(request: OwnerRequest, waitMs: number): Failure | undefined {
        const probability = this.options.faults.getFaultProbability(request.upstreamId);
        return waitMs > 0 && isAbove(request, probability) ? createSuspectFailure(probability) : undefined;
    }
}

function isAbove({ faultLimit }: OwnerRequest, probability: number): boolean {
    return faultLimit !== undefined && probability > faultLimit;
}

function createSuspectFailure(probability: number): Failure {
    return createFailure(Code.UpstreamSuspected, {
        detail: `probability of a fault ${probability.toFixed(2)}`,
    });
}
