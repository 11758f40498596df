/**
 * Baselines of service times, computed from the answers that this entry daemon received.
 *
 * @example
 * ```ts
 * baselines.record(request.service, request.route, { upstreamId, serviceMs, atMs });
 * const baselineMs = baselines.compute(request.service, request.route, { upstreamId, excluded, nowMs });
 * ```
 *
 * @module
 */
import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import { MedianServiceTime } from "./median_service_time.ts";

/** Answers kept for each service and work class. */
const maxSamples = 32;

/** Answers older than this in milliseconds no longer reflect the current service times. */
const sampleMaxAgeMs = 5_000;

/** No baseline is computed from fewer answers, or from answers of fewer other upstreams. */
const minSamples = 8;
const minUpstreams = 2;

/** The third quartile does not move when fewer than a quarter of the answers come from slow upstreams. */
const quantile = 0.75;

interface Sample {
    readonly upstreamId: string;
    readonly serviceMs: number;
    /** Monotonic milliseconds. */
    readonly atMs: number;
}

interface RoutedSample extends Sample {
    readonly route: string;
}

interface Options {
    /** The upstream that is compared with the others; its own answers do not count. */
    readonly upstreamId: string;
    /** Upstreams that are ejected; their answers do not count. */
    readonly excluded: ReadonlySet<string>;
    readonly nowMs: number;
}

/** Keeps the recent answers of each service and work class. */
export class BaselineTable {
    private readonly samples = new Map<string, RoutedSample[]>();
    private readonly medians = new Map<string, MedianServiceTime>();

    /** Adds an answer that the route expects. */
    record(service: ServiceConfig, route: RouteConfig, sample: Sample): void {
        const key = formatKey(service, route);
        let samples = this.samples.get(key);
        if (samples === undefined) {
            samples = [];
            this.samples.set(key, samples);
        }
        samples.push({ ...sample, route: route.name });
        samples.splice(0, samples.length - maxSamples);
        let median = this.medians.get(route.name);
        if (median === undefined) {
            median = new MedianServiceTime();
            this.medians.set(route.name, median);
        }
        median.add(sample.serviceMs);
    }

    /**
     * Service time in milliseconds above which an answer counts as slow: `slowFactor` times the third
     * quartile of the other upstreams' recent answers of the work class. Service times differ between routes,
     * so each answer is divided by the median of its route. 0 when too few answers are known.
     */
    compute(service: ServiceConfig, route: RouteConfig, options: Options): number {
        const medianMs = this.medians.get(route.name)?.get();
        if (medianMs === undefined) {
            return 0;
        }
        const ratios: number[] = [];
        const upstreams = new Set<string>();
        for (const sample of this.samples.get(formatKey(service, route)) ?? []) {
            const sampleMedianMs = this.medians.get(sample.route)?.get();
            const isCounted = sample.upstreamId !== options.upstreamId
                && !options.excluded.has(sample.upstreamId)
                && options.nowMs - sample.atMs <= sampleMaxAgeMs;
            if (isCounted && sampleMedianMs !== undefined) {
                ratios.push(sample.serviceMs / sampleMedianMs);
                upstreams.add(sample.upstreamId);
            }
        }
        if (ratios.length < minSamples || upstreams.size < minUpstreams) {
            return 0;
        }
        ratios.sort((left, right) => left - right);
        return service.health.slowFactor * medianMs * ratios[Math.floor(quantile * ratios.length)]!;
    }
}

function formatKey(service: ServiceConfig, route: RouteConfig): string {
    return `${service.name} ${route.workClass}`;
}
