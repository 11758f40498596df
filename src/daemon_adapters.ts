import type { UpstreamCodec } from "./dispatch/upstream_codec.ts";
import type { RetryBounds } from "./forward/retry_bounds.ts";
import type { PlatformStore } from "./published/platform_store.ts";
import type { CallerCodec } from "./receive/caller_codec.ts";

/** What a daemon on a platform with its own formats uses in place of zinniaglade's own interfaces. */
export interface DaemonAdapters {
    readonly callerCodec: CallerCodec;
    readonly upstreamCodec: UpstreamCodec;
    readonly store: PlatformStore;
    /** Address (IP number and port) of the upstream beside the daemon. */
    readonly upstreamAddress: string;
    /** Service of that upstream; changes with the settings. */
    getService(): string;
    /** Bounds on attempts after the first; change with the settings. */
    getRetryBounds(): RetryBounds;
}
