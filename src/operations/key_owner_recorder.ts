import type { OwnerIdentity } from "./owner_identity.ts";

/** Records incarnations from head exchanges and replies. */
export interface KeyOwnerRecorder {
    setIncarnation(identity: OwnerIdentity): void;
}
