import type { MembershipReader } from "../membership/membership_reader.ts";
import type { KeyOwnerReader } from "./key_owner_reader.ts";
import type { KeyOwnerRecorder } from "./key_owner_recorder.ts";
import type { OwnerIdentity } from "./owner_identity.ts";
import type { UpstreamPreference } from "./upstream_preference.ts";

interface Options {
    readonly membership: MembershipReader;
    readonly preference: UpstreamPreference;
}

/** Incarnations learnt from head exchanges and replies. */
export class KnownOwnerTable implements KeyOwnerReader, KeyOwnerRecorder {
    private readonly incarnations = new Map<string, string>();

    constructor(private readonly options: Options) {}

    /** Call for each head exchange and each reply that an owner itself made. */
    setIncarnation(identity: OwnerIdentity): void {
        this.incarnations.set(identity.ownerId, identity.incarnation);
    }

    /** Call when the daemon is no longer in the instance list. */
    remove(ownerId: string): void {
        this.incarnations.delete(ownerId);
    }

    getIncarnation(ownerId: string): string | undefined {
        return this.incarnations.get(ownerId);
    }

    list(service: string): readonly OwnerIdentity[] {
        const { membership, preference } = this.options;
        const upstreams = membership.list(service);
        const preferred = upstreams.filter(upstream => preference.isPreferred(upstream));
        const ownerIds = new Set(
            (preferred.length > 0 ? preferred : upstreams).map(({ ownerId }) => ownerId),
        );
        return [...ownerIds].flatMap(ownerId => {
            const incarnation = this.incarnations.get(ownerId);
            return incarnation === undefined ? [] : [{ ownerId, incarnation }];
        });
    }
}
