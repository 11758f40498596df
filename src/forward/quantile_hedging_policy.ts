/**
 * Hedging by the observed distribution of answer times, for loads in which a few answers are slow and the
 * others are not.
 *
 * @example
 * ```ts
 * const hedging = new QuantileHedgingPolicy({ percent: 5, budget, loads });
 * hedging.add(request, nowMs);
 * const delayMs = hedging.computeDelayMs(request, upstream.id, nowMs);
 * // After delayMs without an answer:
 * const isAllowed = hedging.take(request, clock.getMonotonicMs()) === HedgeVerdict.Allowed;
 * ```
 *
 * @module
 */
import type { RoutedRequest } from "../route/routed_request.ts";
import type { ServiceLoadReader } from "../select/service_load_reader.ts";
import { AnswerTimeTable } from "./answer_time_table.ts";
import { HedgeVerdict } from "./hedge_verdict.ts";
import type { HedgingPolicy } from "./hedging_policy.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

interface Options {
    /** Percent of the repeatable requests of each service that may be hedged. */
    readonly percent: number;
    readonly budget: RetryBudget;
    readonly loads: ServiceLoadReader;
}

interface ServiceCounters {
    readonly requests: SlidingWindowCounter;
    readonly hedges: SlidingWindowCounter;
}

/** Milliseconds of the window over which the share is counted. */
const shareWindowMs = 30_000;
/** Smallest quantile of the answer times after which an answer counts as late: a request is not late before half of them. */
const minQuantile = 0.5;
/** Largest one; the answers of 30 s do not show a rarer delay. */
const maxQuantile = 0.95;
/** Share of the target of a route after which a request is hedged while too few answer times are known. */
const unknownDelayRatio = 0.6;
/** Load of a service above which a hedge would probably take the slot of a request that waits. */
const maxLoad = 0.75;

/** Hedges a request that takes longer than nearly all others of its route. */
export class QuantileHedgingPolicy implements HedgingPolicy {
    private readonly times = new AnswerTimeTable();
    private readonly countersByService = new Map<string, ServiceCounters>();
    private readonly quantile: number;

    constructor(private readonly options: Options) {
        // A smaller quantile would make more requests late than may be hedged.
        this.quantile = Math.min(maxQuantile, Math.max(minQuantile, 1 - options.percent / 100));
    }

    add({ route, service }: RoutedRequest, nowMs: number): void {
        if (route.idempotent) {
            this.getCounters(service.name).requests.add(1, nowMs);
        }
    }

    /**
     * A request is late when it takes longer than the quantile of its route, or of its upstream if that one is
     * faster. With a target, it has until a second attempt would just be in time: what is in time without
     * a hedge needs none.
     */
    computeDelayMs(request: RoutedRequest, upstreamId: string, nowMs: number): number | undefined {
        const { idempotent, maxAttempts, targetMs } = request.route;
        if (!idempotent || maxAttempts < 2) {
            return undefined;
        }
        const routeMs = this.computeQuantileMs(formatRouteKey(request), nowMs);
        const upstreamMs = this.computeQuantileMs(formatUpstreamKey(request, upstreamId), nowMs);
        const lateMs = Math.min(routeMs ?? Infinity, upstreamMs ?? Infinity);
        if (routeMs === undefined) {
            return targetMs > 0 ? unknownDelayRatio * targetMs : undefined;
        }
        return Math.max(lateMs, targetMs - routeMs);
    }

    take({ route, service }: RoutedRequest, nowMs: number): HedgeVerdict {
        const { budget, loads, percent } = this.options;
        if (!route.idempotent) {
            return HedgeVerdict.NotRepeatable;
        }
        const { hedges, requests } = this.getCounters(service.name);
        if (hedges.get(nowMs) + 1 > requests.get(nowMs) * percent / 100) {
            return HedgeVerdict.Share;
        }
        if ((loads.measureLoad(service.name, nowMs) ?? 0) > maxLoad) {
            return HedgeVerdict.Slots;
        }
        if (!budget.take(service.name)) {
            return HedgeVerdict.RetryBudget;
        }
        hedges.add(1, nowMs);
        return HedgeVerdict.Allowed;
    }

    release({ service }: RoutedRequest, nowMs: number): void {
        this.getCounters(service.name).hedges.add(-1, nowMs);
        this.options.budget.release(service.name);
    }

    recordAnswer(request: RoutedRequest, upstreamId: string, durationMs: number, nowMs: number): void {
        for (const key of [formatRouteKey(request), formatUpstreamKey(request, upstreamId)]) {
            this.times.register(key, nowMs).addAnswer(durationMs, nowMs);
        }
    }

    recordUnanswered(request: RoutedRequest, upstreamId: string, durationMs: number, nowMs: number): void {
        for (const key of [formatRouteKey(request), formatUpstreamKey(request, upstreamId)]) {
            this.times.register(key, nowMs).addUnanswered(durationMs, nowMs);
        }
    }

    private computeQuantileMs(key: string, nowMs: number): number | undefined {
        return this.times.find(key)?.computeQuantileMs(this.quantile, nowMs);
    }

    private getCounters(service: string): ServiceCounters {
        let counters = this.countersByService.get(service);
        if (counters === undefined) {
            counters = {
                requests: new SlidingWindowCounter(shareWindowMs),
                hedges: new SlidingWindowCounter(shareWindowMs),
            };
            this.countersByService.set(service, counters);
        }
        return counters;
    }
}

function formatRouteKey({ route, service }: RoutedRequest): string {
    return `${service.name} ${route.name}`;
}

function formatUpstreamKey(request: RoutedRequest, upstreamId: string): string {
    return `${formatRouteKey(request)} ${upstreamId}`;
}
