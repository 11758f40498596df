/**
 * Keeps work away from an owned upstream that probably has a fault, and lets one idempotent request at a time through
 * to learn when the fault is over.
 *
 * @example
 * ```ts
 * const owner = Pipeline.start(new SuspectFilter({ clock, faults })).pipe(queueFilter).pipe(dispatchFilter);
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
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { FaultReader } from "./fault_reader.ts";

interface Options {
    readonly clock: Clock;
    readonly faults: FaultReader;
}

/** Probability of a fault above which work that must not be repeated goes elsewhere. */
const singleRunLimit = 0.25;
/** Probability of a fault above which idempotent work is let through as a trial only. */
const idempotentLimit = 0.6;
/** Milliseconds between two trials. A failing trial ends within milliseconds and costs the fleet one retry. */
const trialMs = 250;

/** Refuses redirectable requests with UpstreamSuspected, which is not executed. */
export class SuspectFilter implements Filter<OwnerRequest, OwnerRequest> {
    private readonly trialAtMs = new Map<string, number>();

    constructor(private readonly options: Options) {}

    apply(request: OwnerRequest): Result<OwnerRequest, Failure> {
        const { upstreamId, route } = request;
        const probability = this.options.faults.getFaultProbability(upstreamId);
        // A request that the sender cannot place elsewhere is better served with a small chance than not at all.
        if (request.redirectable !== true) {
            return ok(request);
        }
        if (!route.idempotent) {
            return probability > singleRunLimit ? this.refuse(probability) : ok(request);
        }
        if (probability <= idempotentLimit) {
            return ok(request);
        }
        const nowMs = this.options.clock.getMonotonicMs();
        if (nowMs - (this.trialAtMs.get(upstreamId) ?? -Infinity) < trialMs) {
            return this.refuse(probability);
        }
        this.trialAtMs.set(upstreamId, nowMs);
        return ok(request);
    }

    private refuse(probability: number): Result<OwnerRequest, Failure> {
        const detail = `probability of a fault ${probability.toFixed(2)}`;
        return err(createFailure(Code.UpstreamSuspected, { detail }));
    }
}
