import type { OwnerIdentity } from "./owner_identity.ts";

/** Learns incarnations from head exchanges and replies. */
export interface KeyOwnerRecorder {
    setIncarnation(identity: OwnerIdentity): void;
}
