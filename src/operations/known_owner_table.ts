import type { Clock } from "../core/clock.ts";
import type { IncarnationReader } from "../membership/incarnation_reader.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";
import type { KeyOwnerReader } from "./key_owner_reader.ts";
import type { KeyOwnerRecorder } from "./key_owner_recorder.ts";
import type { OwnerIdentity } from "./owner_identity.ts";
import type { UpstreamPreference } from "./upstream_preference.ts";

interface Options {
    /** Identity of this daemon. */
    readonly identity: OwnerIdentity;
    readonly clock: Clock;
    readonly membership: MembershipReader;
    readonly preference: UpstreamPreference;
    /** Incarnations of owners that have not replied to this daemon yet. */
    readonly incarnations: IncarnationReader;
}

interface KnownOwner extends OwnerIdentity {
    /** Monotonic milliseconds. */
    readonly lastContactMs: number;
}

/**
 * Milliseconds; an owner without contact for longer may have restarted, and the outcome of a key for its old
 * incarnation would be unknown.
 */
const recentContactMs = 10_000;

/** Incarnations of owners, from head exchanges and replies. */
export class KnownOwnerTable implements KeyOwnerReader, KeyOwnerRecorder {
    private readonly owners = new Map<string, KnownOwner>();

    constructor(private readonly options: Options) {
        this.setIncarnation(options.identity);
    }

    /** Call for each head exchange and each reply that the owner itself produced. */
    setIncarnation({ ownerId, incarnation }: OwnerIdentity): void {
        this.owners.set(ownerId, {
            ownerId,
            incarnation,
            lastContactMs: this.options.clock.getMonotonicMs(),
        });
    }

    getIncarnation(ownerId: string): string | undefined {
        return this.owners.get(ownerId)?.incarnation ?? this.options.incarnations.getIncarnation(ownerId);
    }

    /**
     * Owners of preferred upstreams, and of those the ones with recent contact; a condition that none meets
     * is ignored.
     */
    list(service: string): readonly OwnerIdentity[] {
        const upstreams = this.options.membership.list(service).filter(({ ownerId }) =>
            this.getIncarnation(ownerId) !== undefined
        );
        const preferred = selectIfAny(upstreams, upstream => this.options.preference.isPreferred(upstream));
        const ownerIds = new Set(preferred.map(({ ownerId }) => ownerId));
        const owners = [...ownerIds].map(ownerId => this.getOwner(ownerId));
        return selectIfAny(owners, owner => this.hasRecentContact(owner))
            .map(({ ownerId, incarnation }) => ({ ownerId, incarnation }));
    }

    /** An owner that has not replied yet counts as one without contact. */
    private getOwner(ownerId: string): KnownOwner {
        return this.owners.get(ownerId)
            ?? { ownerId, incarnation: this.getIncarnation(ownerId) ?? "", lastContactMs: -Infinity };
    }

    private hasRecentContact({ ownerId, lastContactMs }: KnownOwner): boolean {
        const { clock, identity } = this.options;
        return ownerId === identity.ownerId || clock.getMonotonicMs() - lastContactMs <= recentContactMs;
    }
}

/** Selects the wanted items, or all items when none is wanted. */
function selectIfAny<Item>(items: readonly Item[], isWanted: (item: Item) => boolean): readonly Item[] {
    const wanted = items.filter(isWanted);
    return wanted.length > 0 ? wanted : items;
}
