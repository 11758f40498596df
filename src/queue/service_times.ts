import type { ServiceTimeReader } from "../admit/service_time_reader.ts";
import type { RouteConfig } from "../config/route_config.ts";

interface ServiceTimeEstimate {
    meanMs: number;
    deviationMs: number;
    /** Monotonic milliseconds. */
    measuredAtMs: number;
}

/** Weights of a new sample in the mean and in the mean deviation, from RFC 6298. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Margin above the mean service time that a queued request must have left, in mean deviations. */
const deviationMargin = 2;
/**
 * Fraction of the mean service time that a request must have left to use a free slot. Service times have a
 * long tail, so most requests take less than the mean, and no other request is waiting for the slot.
 */
const freeSlotMeanRatio = 0.4;
/**
 * Age at which a measurement no longer counts. Without this limit an estimate above all deadlines would
 * refuse all requests, so that no new measurement could correct it.
 */
const staleMs = 2_000;

/** Measured service times of each route. */
export class ServiceTimes implements ServiceTimeReader {
    private readonly routes = new Map<string, ServiceTimeEstimate>();

    record(route: RouteConfig, serviceMs: number, nowMs: number): void {
        const estimate = this.getRecent(route, nowMs);
        if (estimate === undefined) {
            this.routes.set(route.name, {
                meanMs: serviceMs,
                deviationMs: serviceMs / 2,
                measuredAtMs: nowMs,
            });
            return;
        }
        const error = serviceMs - estimate.meanMs;
        estimate.deviationMs += deviationWeight * (Math.abs(error) - estimate.deviationMs);
        estimate.meanMs += meanWeight * error;
        estimate.measuredAtMs = nowMs;
    }

    getMeanMs(route: RouteConfig, nowMs: number): number {
        return this.getRecent(route, nowMs)?.meanMs ?? route.serviceMs;
    }

    /** Mean deviation in milliseconds; half the configured time without a recent measurement. */
    getDeviationMs(route: RouteConfig, nowMs: number): number {
        return this.getRecent(route, nowMs)?.deviationMs ?? route.serviceMs / 2;
    }

    /**
     * Time in milliseconds that a request must have left to be admitted. A queued request that misses its
     * deadline has displaced another one, so it needs a margin; a request that gets a free slot displaces
     * none, and often takes less than the mean.
     */
    computeNeededMs(route: RouteConfig, waitMs: number, nowMs: number): number {
        const meanMs = this.getMeanMs(route, nowMs);
        return waitMs > 0
            ? meanMs + deviationMargin * this.getDeviationMs(route, nowMs)
            : freeSlotMeanRatio * meanMs;
    }

    private getRecent(route: RouteConfig, nowMs: number): ServiceTimeEstimate | undefined {
        const estimate = this.routes.get(route.name);
        return estimate === undefined || nowMs - estimate.measuredAtMs > staleMs ? undefined : estimate;
    }
}
