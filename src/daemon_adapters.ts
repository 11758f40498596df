import type { RevocationBounds } from "./authenticate/revocation_bounds.ts";
import type { UpstreamCodec } from "./dispatch/upstream_codec.ts";
import type { RetryBounds } from "./forward/retry_bounds.ts";
import type { PlatformStore } from "./published/platform_store.ts";
import type { CallerCodec } from "./receive/caller_codec.ts";
import type { UsageCapBounds } from "./usage_cap/usage_cap_bounds.ts";

/** Adapters for a platform with its own formats, used in place of zinniaglade's own interfaces. */
export interface DaemonAdapters {
    readonly callerCodec: CallerCodec;
    readonly upstreamCodec: UpstreamCodec;
    readonly store: PlatformStore;
    /** IP address and port of the upstream on the same instance as the daemon. */
    readonly upstreamAddress: string;
    /** Service of that upstream; can change with the settings. */
    getService(): string;
    /** Limits of retries; can change with the settings. */
    getRetryBounds(): RetryBounds;
    /** Bounds of usage caps; can change with the settings. */
    getUsageCapBounds(): UsageCapBounds;
    /** Bounds for requests with keys that were removed; can change with the settings. */
    getRevocationBounds(): RevocationBounds;
    /** Milliseconds within which a change in the store must be in force; can change with the settings. */
    getApplyMs(): number;
    /** Milliseconds after open connections went silent within which changes of the store must be read again. */
    getSilenceMs(): number;
}
