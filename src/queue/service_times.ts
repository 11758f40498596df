import type { ServiceTimeReader } from "../admit/service_time_reader.ts";
import type { RouteConfig } from "../config/route_config.ts";

interface ServiceTimeEstimate {
    meanMs: number;
    deviationMs: number;
    /** Monotonic milliseconds. */
    measuredAtMs: number;
}

/** Weights of RFC 6298 for the mean and the mean deviation of a measured time. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Mean deviations by which the service time of work that had to wait may exceed its mean. */
const deviationMargin = 2;
/**
 * Share of the mean that work with a free slot must have left. Service times have a long tail, so that most work takes
 * less than the mean, and nothing else waits for the slot.
 */
const freeSlotMeanRatio = 0.4;
/**
 * Age at which a measurement no longer counts. Without this limit an estimate above all deadlines would refuse all
 * work, so that no new measurement could correct it.
 */
const staleMs = 2_000;

/** Measured service time of each route. */
export class ServiceTimes implements ServiceTimeReader {
    private readonly routes = new Map<string, ServiceTimeEstimate>();

    record(route: RouteConfig, serviceMs: number, nowMs: number): void {
        const measured = this.getRecent(route, nowMs);
        if (measured === undefined) {
            this.routes.set(route.name, {
                meanMs: serviceMs,
                deviationMs: serviceMs / 2,
                measuredAtMs: nowMs,
            });
            return;
        }
        const error = serviceMs - measured.meanMs;
        measured.deviationMs += deviationWeight * (Math.abs(error) - measured.deviationMs);
        measured.meanMs += meanWeight * error;
        measured.measuredAtMs = nowMs;
    }

    getMeanMs(route: RouteConfig, nowMs: number): number {
        return this.getRecent(route, nowMs)?.meanMs ?? route.serviceMs;
    }

    /** Mean deviation in milliseconds; half the configured service time when there is no recent measurement. */
    getDeviationMs(route: RouteConfig, nowMs: number): number {
        return this.getRecent(route, nowMs)?.deviationMs ?? route.serviceMs / 2;
    }

    /**
     * Time in milliseconds that work must have left to be worth a slot. Work that waits displaces other work when it
     * misses its deadline, so it needs a margin; work that gets a free slot does not, and often takes less than the mean.
     */
    computeNeededMs(route: RouteConfig, waitMs: number, nowMs: number): number {
        const meanMs = this.getMeanMs(route, nowMs);
        return waitMs > 0
            ? meanMs + deviationMargin * this.getDeviationMs(route, nowMs)
            : freeSlotMeanRatio * meanMs;
    }

    private getRecent(route: RouteConfig, nowMs: number): ServiceTimeEstimate | undefined {
        const measured = this.routes.get(route.name);
        return measured === undefined || nowMs - measured.measuredAtMs > staleMs ? undefined : measured;
    }
}
