import type { UpstreamBehaviour } from "./upstream_behaviour.ts";

/** What a fleet of processes on loopback consists of. */
export interface FleetOptions {
    readonly configuration: string;
    /** Services of which each daemon owns one upstream. */
    readonly services: readonly string[];
    readonly daemons: number;
    readonly slots: number;
    readonly failureDomains: readonly string[];
    readonly behaviour?: Partial<UpstreamBehaviour>;
    /** Puts a link before each daemon's interface for other daemons. */
    readonly hasLinks?: boolean;
    /** Further flags of each daemon, for example `--drain-grace-ms=100`. */
    readonly flags?: readonly string[];
    /** Milliseconds for each step of the start; the default is 20 s. */
    readonly startTimeoutMs?: number;
}
