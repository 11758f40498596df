import type { ServiceCount } from "../forward/service_count.ts";

/** Counts of attempts that the daemons of a group tell each other. */
export interface AttemptCountExchange {
    /** What this daemon has sent lately, for at most `limit` services, and for all of them in turn. */
    listCounts(limit: number): readonly ServiceCount[];
    recordPeerCounts(daemonId: string, incarnation: string, counts: readonly ServiceCount[]): void;
}
