import type { UpstreamBehaviour } from "./upstream_behaviour.ts";

/** Composition of a fleet of processes on loopback. */
export interface FleetOptions {
    readonly configuration: string;
    /** Names of services; each daemon owns one upstream of every service. */
    readonly services: readonly string[];
    /** Number of daemons. */
    readonly daemons: number;
    /** Slots of each upstream. */
    readonly slots: number;
    /** Assigned to the daemons in turn. */
    readonly failureDomains: readonly string[];
    readonly behaviour?: Partial<UpstreamBehaviour>;
    /** Puts a `Link` in front of each daemon's peer address, so that tests can drop bytes. */
    readonly hasLinks?: boolean;
    /** Additional flags of each daemon, for example `--drain-grace-ms=100`. */
    readonly flags?: readonly string[];
    /** Time-out of each step of the start in milliseconds; the default is 20 s. */
    readonly startTimeoutMs?: number;
}
