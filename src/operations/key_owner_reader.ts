import type { OwnerIdentity } from "./owner_identity.ts";

/** Provides the owners whose current incarnation this daemon knows. */
export interface KeyOwnerReader {
    /** Owners of upstreams of the service for which keys can be issued, in a stable order. */
    list(service: string): readonly OwnerIdentity[];
    /** Last known incarnation of a daemon. */
    getIncarnation(ownerId: string): string | undefined;
}
