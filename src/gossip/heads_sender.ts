import type { Peer } from "./peer.ts";

/** Exchanges document heads with other daemons. */
export interface HeadsSender {
    /** True when the peer replied. Resolves after the fetches that the reply causes. */
    sendHeads(peer: Peer): Promise<boolean>;
}
