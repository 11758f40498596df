import type { ServiceCount } from "../forward/service_count.ts";

/** Exchange of attempt counts between the daemons of a group. */
export interface AttemptCountExchange {
    /**
     * Counts of the recent attempts of this daemon for at most `limit` services; successive calls cover all
     * services.
     */
    listCounts(limit: number): readonly ServiceCount[];
    recordPeerCounts(daemonId: string, incarnation: string, counts: readonly ServiceCount[]): void;
}
