import type { Peer } from "./peer.ts";

/** Makes one exchange of heads. */
export interface HeadsSender {
    /** True when the peer replied. Ends after the fetches that follow from the reply. */
    sendHeads(peer: Peer): Promise<boolean>;
}
