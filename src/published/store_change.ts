import type { Configuration } from "../config/configuration.ts";
import type { Upstream } from "../core/upstream.ts";
import type { StoreChangeKind } from "./store_change_kind.ts";

interface Change {
    /** Revision of the store in which the value was written. */
    readonly revision: number;
}

/** A configuration that operators published. */
interface ConfigurationChange extends Change {
    readonly kind: typeof StoreChangeKind.Configuration;
    /** Version assigned by the operators. */
    readonly version: number;
    readonly source: string;
    readonly configuration: Configuration;
}

interface UpstreamChange extends Change {
    readonly kind: typeof StoreChangeKind.Upstream;
    readonly upstream: Upstream;
}

interface UpstreamRemoval extends Change {
    readonly kind: typeof StoreChangeKind.UpstreamRemoved;
    readonly upstreamId: string;
}

interface UnreadableChange extends Change {
    readonly kind: typeof StoreChangeKind.Unreadable;
    readonly key: string;
    readonly detail: string;
    /** The upstream that the value should describe; it counts as removed. */
    readonly upstreamId?: string;
}

/** Decoded change of one value of the platform's store. */
export type StoreChange = ConfigurationChange | UpstreamChange | UpstreamRemoval | UnreadableChange;
