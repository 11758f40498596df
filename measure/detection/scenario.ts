import type { FaultKind } from "./fault_kind.ts";

/** One run of the measurement. Times are milliseconds from its start. */
export interface Scenario {
    readonly name: string;
    readonly fault: FaultKind;
    /** Upstreams that get the fault at `eventMs`. */
    readonly faultyCount: number;
    /** Requests a second to each upstream before and after the event. */
    readonly rate: number;
    readonly eventRate: number;
    /** Factor on the service time of all upstreams after the event. */
    readonly dependencyFactor: number;
    readonly eventMs: number;
    readonly endMs: number;
    /** True for round robin with ejection after consecutive errors. */
    readonly baseline: boolean;
}
