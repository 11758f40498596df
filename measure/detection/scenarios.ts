import { FaultKind } from "./fault_kind.ts";
import type { Scenario } from "./scenario.ts";

const fault: Omit<Scenario, "name" | "fault"> = {
    faultyCount: 1,
    rate: 10,
    eventRate: 10,
    dependencyFactor: 1,
    eventMs: 10_000,
    endMs: 20_000,
    baseline: false,
};
const healthy = { ...fault, fault: FaultKind.None, faulty: 0 };

/** Three times the capacity: 36 slots serve about 1,000 requests a second, 24 slots about 450. */
const surgeRate = 250;
const surgeEndMs = 14_000;

/** All scenarios of the measurement: first the kinds of faults, then those without a faulty upstream or with a surge. */
export const scenarios: readonly Scenario[] = [
    ...Object.values(FaultKind).filter(kind => kind !== FaultKind.None).map(kind => ({
        ...fault,
        name: kind,
        fault: kind,
    })),
    { ...healthy, name: "quiet, 60 s", eventMs: 0, endMs: 60_000 },
    { ...healthy, name: "surge of 3 times capacity", eventRate: surgeRate, endMs: surgeEndMs },
    {
        ...fault,
        name: "surge, one upstream slow 5 times",
        fault: FaultKind.Slow,
        eventRate: surgeRate,
        endMs: surgeEndMs,
    },
    { ...healthy, name: "common dependency slow 5 times", dependencyFactor: 5 },
    {
        ...fault,
        name: "common dependency fails",
        fault: FaultKind.WrongStatus,
        faultyCount: Number.POSITIVE_INFINITY,
    },
];
