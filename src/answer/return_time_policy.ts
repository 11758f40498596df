/**
 * Decides when the caller of a refused request may return.
 *
 * Load: many callers are refused within moments, because a service is full. If all return when the first slot
 * is free, the queue overflows once more, and less urgent callers come before urgent ones.
 *
 * @example
 * ```ts
 * const policy = new ReturnTimePolicy(random);
 * const retryAfterMs = policy.decide(failure, { priority: 1, serviceMs: 200 });
 * ```
 *
 * @module
 */
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { RandomSource } from "../core/random_source.ts";

interface Work {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Expected service time in milliseconds. */
    readonly serviceMs: number;
}

/** Refusals of one daemon, or of its upstream, while the others can serve the request. */
const elsewhereCodes: ReadonlySet<Code> = new Set<Code>([
    Code.NotReady,
    Code.EntryOverloaded,
    Code.OwnerLeaving,
    Code.OwnerRestarted,
    Code.PeerUnreachable,
    Code.NotOwner,
    Code.UnknownRouteAtOwner,
]);
/** Refusals because the upstreams of the service have no room, or none that is trusted. */
const fullCodes: ReadonlySet<Code> = new Set<Code>([
    Code.QueueFull,
    Code.WaitTooLong,
    Code.OwnerOverloaded,
    Code.OrganisationOverShare,
    Code.RetryElsewhere,
    Code.DependencySaturated,
    Code.UpstreamSuspected,
    Code.UpstreamShed,
    Code.UpstreamRefused,
]);
/** Gives callers of a full service their turns: the urgent ones first, each at a random time of its turn. */
export class ReturnTimePolicy {
    constructor(private readonly random: RandomSource) {}

    /**
     * Milliseconds after which the caller may repeat the request. Undefined when the request may have run, or
     * when nothing is known; other refusals keep the time of the class that decided them.
     */
    decide({ code, outcome, retryAfterMs }: Failure, { priority, serviceMs }: Work): number | undefined {
        if (outcome !== Outcome.NotExecuted) {
            return undefined;
        }
        if (elsewhereCodes.has(code)) {
            return 0;
        }
        if (!fullCodes.has(code)) {
            return retryAfterMs;
        }
        // A slot serves one request in a service time, so that is the length of a turn. The logarithm keeps the
        // order of large ranks without a turn for each rank between them.
        const turns = Math.log2(1 + priority) + this.random.getFloat();
        return (retryAfterMs ?? 0) + turns * serviceMs;
    }
}
