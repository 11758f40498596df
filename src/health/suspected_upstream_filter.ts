/**
 * Refuses requests to an owned upstream that probably has a fault, on arrival and again after they have
 * waited for a slot. Lets one trial request in each interval through to find out whether the upstream has
 * recovered.
 *
 * @example
 * ```ts
 * const suspectedFilter = new SuspectedUpstreamFilter({ clock, faults });
 * const owner = Pipeline.start(suspectedFilter).pipe(queueFilter).pipe(dispatchFilter);
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
import type { FaultProbabilityReader } from "./fault_probability_reader.ts";
import { suspicionLimits } from "./suspicion_limits.ts";

interface Options {
    readonly clock: Clock;
    readonly faults: FaultProbabilityReader;
}

/** Refuses requests with UpstreamSuspected; a refused request is not executed. */
export class SuspectedUpstreamFilter implements Filter<OwnerRequest, OwnerRequest>, DispatchCheck {
    private readonly lastTrialAtMs = new Map<string, number>();

    constructor(private readonly options: Options) {}

    apply(request: OwnerRequest): Result<OwnerRequest, Failure> {
        const { upstreamId, route } = request;
        const probability = this.options.faults.getFaultProbability(upstreamId);
        if (!isAboveLimit(request, probability)) {
            return ok(request);
        }
        const nowMs = this.options.clock.getMonotonicMs();
        const trialLimit = route.idempotent
            ? suspicionLimits.retryableTrialLimit
            : suspicionLimits.nonRetryableTrialLimit;
        const isTrial = probability <= trialLimit && request.redirectable === true
            && nowMs - (this.lastTrialAtMs.get(upstreamId) ?? -Infinity) >= suspicionLimits.trialIntervalMs;
        if (!isTrial) {
            const lastTrialAtMs = this.lastTrialAtMs.get(upstreamId) ?? -Infinity;
            const retryAfterMs = Math.max(0, lastTrialAtMs + suspicionLimits.trialIntervalMs - nowMs);
            return err({ ...createSuspectedFailure(probability), retryAfterMs });
        }
        this.lastTrialAtMs.set(upstreamId, nowMs);
        return ok(request);
    }

    /**
     * Checks a request again after it has waited, because its upstream may have started to fail meanwhile.
     */
    check(request: OwnerRequest, waitMs: number): Failure | undefined {
        const probability = this.options.faults.getFaultProbability(request.upstreamId);
        return waitMs > 0 && isAboveLimit(request, probability)
            ? createSuspectedFailure(probability)
            : undefined;
    }
}

function isAboveLimit({ faultLimit }: OwnerRequest, probability: number): boolean {
    return faultLimit !== undefined && probability > faultLimit;
}

function createSuspectedFailure(probability: number): Failure {
    return createFailure(Code.UpstreamSuspected, {
        detail: `probability of a fault ${probability.toFixed(2)}`,
    });
}
