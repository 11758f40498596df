/**
 * Sets the time after which the caller of a refused request may return.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { Metrics } from "../core/metrics.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { ServiceTimes } from "../queue/service_times.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { ReturnTimePolicy } from "./return_time_policy.ts";

interface Options {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly policy: ReturnTimePolicy;
    readonly serviceTimes: ServiceTimes;
    /** The filters after the one that routes the request. */
    readonly inner: Filter<RoutedRequest, OwnerReply>;
}

/** Wraps the filters that can refuse a request; answers pass unchanged. */
export class ReturnTimeFilter implements Filter<RoutedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        const result = await this.options.inner.apply(request);
        if (result.isErr()) {
            return err({ ...result.error, retryAfterMs: this.decide(request, result.error) });
        }
        const reply = result.value;
        return reply.answer === undefined
            ? ok({ ...reply, retryAfterMs: this.decide(request, reply) })
            : ok(reply);
    }

    private decide({ route }: RoutedRequest, refusal: Failure): number | undefined {
        const { clock, metrics, policy, serviceTimes } = this.options;
        const serviceMs = serviceTimes.getMeanMs(route, clock.getMonotonicMs());
        const retryAfterMs = policy.decide(refusal, { priority: route.priority, serviceMs });
        if (retryAfterMs !== undefined) {
            metrics.recordTime("caller.retry_after", retryAfterMs);
        }
        return retryAfterMs;
    }
}
