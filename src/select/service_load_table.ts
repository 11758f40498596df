/**
 * Measures the background load of each service from the reports and replies that an entry daemon receives.
 *
 * @example
 * ```ts
 * table.record("payments", 120);
 * const background = table.measure("payments", views, nowMs);
 * ```
 *
 * @module
 */
import { suspicionLimits } from "../health/suspicion_limits.ts";
import type { BackgroundLoad } from "./background_load.ts";
import type { UpstreamView } from "./upstream_view.ts";

/** Weight of a new service time in the moving average, from RFC 6298. */
const newSampleWeight = 1 / 8;
/** Service time in milliseconds before any is measured. */
const defaultServiceMs = 250;
/** Lower bound in milliseconds, so that the age of reports on the way is no reason to doubt them. */
const minServiceMs = 20;
/** Age in milliseconds up to which a report counts; demand changes within seconds. */
const reportMaxAgeMs = 2_000;
/** Requests per slot before any report. */
const defaultLoad = 0.5;

/** Background load of the services to which an entry daemon sends requests. */
export class ServiceLoadTable {
    private readonly serviceMs = new Map<string, number>();

    /** Records the service time in milliseconds of a request that an upstream has run. */
    record(service: string, serviceMs: number): void {
        const meanMs = this.serviceMs.get(service) ?? serviceMs;
        this.serviceMs.set(service, meanMs + newSampleWeight * (serviceMs - meanMs));
    }

    /** Suspected upstreams get few requests and say nothing about the load of the others. */
    measure(service: string, views: readonly UpstreamView[], nowMs: number): BackgroundLoad {
        let sum = 0;
        let count = 0;
        for (const view of views) {
            const { inFlight, others, reportedAtMs, slots } = view.load.getReport();
            const isRecent = nowMs - reportedAtMs <= reportMaxAgeMs;
            if (isRecent && view.getFaultProbability(nowMs) <= suspicionLimits.idempotentLimit) {
                sum += (others + inFlight) / slots;
                count += 1;
            }
        }
        return {
            load: count === 0 ? defaultLoad : sum / count,
            serviceMs: Math.max(minServiceMs, this.serviceMs.get(service) ?? defaultServiceMs),
        };
    }
}
