import type { OwnerIdentity } from "./owner_identity.ts";

/** Gives the owners whose present incarnation this daemon knows. */
export interface KeyOwnerReader {
    /** Owners of upstreams of the service that can take new keys, in a stable order. */
    list(service: string): readonly OwnerIdentity[];
    /** Last known incarnation of a daemon. */
    getIncarnation(ownerId: string): string | undefined;
}
