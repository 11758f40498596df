import type { ServiceCount } from "../forward/service_count.ts";

/** Counts of attempts that the daemons of a failure domain tell each other. */
export interface CountExchange {
    /** What this daemon has sent since its start. */
    listCounts(): readonly ServiceCount[];
    recordPeer(daemonId: string, incarnation: string, counts: readonly ServiceCount[]): void;
}
