import type { UpstreamCodec } from "./dispatch/upstream_codec.ts";
import type { PublishedStore } from "./published/published_store.ts";
import type { CallerCodec } from "./receive/caller_codec.ts";

/** What a daemon on a platform with its own formats uses in place of zinniaglade's own interfaces. */
export interface DaemonAdapters {
    readonly callerCodec: CallerCodec;
    readonly upstreamCodec: UpstreamCodec;
    readonly store: PublishedStore;
    /** Service of the upstream beside the daemon. */
    readonly service: string;
    /** Address (IP number and port) of that upstream. */
    readonly upstreamAddress: string;
    /** Bounds of the platform on attempts after the first, for the whole fleet. */
    readonly retryBudget: { readonly percent: number; readonly slack: number; readonly windowMs: number; };
}
