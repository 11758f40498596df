import { buildService } from "../../proof/fakes/build_service.ts";
import { WorkClass } from "../../src/core/work_class.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { LoadStream } from "./load_stream.ts";
import type { UpstreamProfile } from "./upstream_profile.ts";

/** Lognormal spread of the service times: standard deviation divided by mean. */
const variation = 0.5;
const unlimitedProfile: UpstreamProfile = { capacity: Infinity, slowExponent: 0, shedFrom: Infinity };
/** An entry concurrency of 300 is never reached here; a smaller one would keep requests out of the queue. */
const limits = { targetWaitMs: 200, queueLength: 100, organisationPercent: 25, entryConcurrency: 300 };

const payments = buildService({
    name: "payments",
    limits,
    routes: [{ deadlineMs: 1_000, serviceMs: 60, idempotent: false }],
});
const checklist = buildService({
    name: "checklist",
    limits: { ...limits, reserveShort: 2, targetWaitMs: 100 },
    routes: [
        { deadlineMs: 500, serviceMs: 40 },
        { deadlineMs: 10_000, serviceMs: 1_600, workClass: WorkClass.Long },
    ],
});
const authority = { upstreams: 12, slots: 3, entryDaemons: 27, hopMs: 0.5, service: payments };
const safai = { upstreams: 6, slots: 4, entryDaemons: 24, hopMs: 1.5, service: checklist };
const defaults = {
    profile: unlimitedProfile,
    maxCallerRequests: 3,
    warmUpMs: 5_000,
    measuredMs: 30_000,
    recoveryMs: 5_000,
};

function buildStream(
    name: string,
    route: number,
    deployment: typeof authority,
    overrides: Partial<LoadStream>,
): LoadStream {
    const routeConfig = deployment.service.routes[route]!;
    return {
        name,
        route: routeConfig,
        serviceMs: routeConfig.serviceMs,
        variation,
        organisations: 500,
        baseRate: 0,
        measuredRate: 0,
        ...overrides,
    };
}

/** Requests per second of the route that all slots together can serve. */
function computeCapacity(deployment: typeof authority, route: number): number {
    return deployment.upstreams * deployment.slots * 1_000 / deployment.service.routes[route]!.serviceMs;
}

function buildSurge(name: string, deployment: typeof authority, factor: number): LoadScenario {
    const capacity = computeCapacity(deployment, 0);
    const rates = { baseRate: 0.5 * capacity, measuredRate: factor * capacity };
    return { ...deployment, ...defaults, name, streams: [buildStream("surge", 0, deployment, rates)] };
}

/**
 * Short work at `load` times the capacity of the slots that are reserved for it, and long work at 1.5 times the
 * capacity of the others.
 */
function buildReservation(reserveShort: number, load: number): LoadScenario {
    const service = { ...safai.service, limits: { ...safai.service.limits, reserveShort } };
    const deployment = { ...safai, service };
    const share = reserveShort / deployment.slots;
    const shortRate = load * share * computeCapacity(deployment, 0);
    const longRate = 1.5 * (1 - share) * computeCapacity(deployment, 1);
    return {
        ...deployment,
        ...defaults,
        name: `${reserveShort} of 4 slots reserved, short work at ${100 * load}% of them`,
        warmUpMs: 20_000,
        maxCallerRequests: 1,
        streams: [
            buildStream("short", 0, deployment, { baseRate: shortRate, measuredRate: shortRate }),
            buildStream("long", 1, deployment, { baseRate: longRate, measuredRate: longRate }),
        ],
    };
}

/** Demand of `factor` times the capacity, half of it from one organisation. */
function buildFairness(name: string, deployment: typeof authority, factor: number): LoadScenario {
    const halfRate = factor / 2 * computeCapacity(deployment, 0);
    return {
        ...deployment,
        ...defaults,
        name: `${name}, ${factor} times capacity`,
        maxCallerRequests: 1,
        streams: [
            buildStream("one", 0, deployment, { organisations: 1, measuredRate: halfRate }),
            buildStream("others", 0, deployment, { organisations: 200, measuredRate: halfRate }),
        ],
    };
}

/** Payments at `factor` times the capacity of upstreams that can use only two of three nominal slots. */
function buildReduced(name: string, factor: number, profile: UpstreamProfile): LoadScenario {
    const rate = factor * 2 / 3 * computeCapacity(authority, 0);
    return {
        ...authority,
        ...defaults,
        name: `${name}, ${factor} times capacity`,
        profile,
        maxCallerRequests: 1,
        streams: [buildStream("load", 0, authority, { baseRate: 0.5 * rate, measuredRate: rate })],
    };
}

/** All scenarios of the load measurement. */
export function buildScenarios() {
    return {
        surges: [
            buildSurge("payments, surge of 3 times capacity", authority, 3),
            buildSurge("checklist, surge of 3 times capacity", safai, 3),
        ],
        waiting: [
            buildReservation(2, 0.3),
            buildReservation(2, 0.5),
            buildReservation(2, 0.7),
            buildReservation(1, 0.5),
        ],
        reduced: [0.9, 3].flatMap(factor => [
            buildReduced("sheds from the third request", factor, { ...unlimitedProfile, shedFrom: 2 }),
            buildReduced("shares two slots", factor, { ...unlimitedProfile, capacity: 2, slowExponent: 1 }),
            buildReduced("loses throughput above two", factor, {
                ...unlimitedProfile,
                capacity: 2,
                slowExponent: 2,
            }),
        ]),
        fairness: [1.5, 2].flatMap(factor => [
            buildFairness("payments", authority, factor),
            buildFairness("checklist", safai, factor),
        ]),
    };
}
