import type { InstanceList } from "../published/instance_list.ts";
import type { OwnedUpstream } from "../queue/owned_upstream.ts";
import type { OwnedUpstreamReader } from "../queue/owned_upstream_reader.ts";
import type { MembershipTable } from "./membership_table.ts";

interface Options {
    readonly membership: MembershipTable;
    /** Address of the one upstream beside this daemon. */
    readonly address: string;
    /** Gives the service of that upstream when the list does not name it. */
    readonly getService: () => string;
}

/** Slots to assume while the list does not name the upstream. */
const defaultSlots = 1;

/**
 * The upstream beside this daemon, whatever its identifier. A sender may know a new upstream before this daemon does;
 * the upstream itself refuses requests that are meant for another.
 */
export class InstanceListUpstreams implements OwnedUpstreamReader {
    private indexed: InstanceList | undefined;
    /** Identifiers of the listed upstreams at the address, found once for each list. */
    private ids: readonly string[] = [];

    constructor(private readonly options: Options) {}

    find(id: string): OwnedUpstream | undefined {
        const { address, getService, membership } = this.options;
        const listed = membership.find(id);
        if (listed !== undefined && listed.address !== address) {
            return undefined;
        }
        return {
            id,
            address,
            service: listed?.service ?? getService(),
            slots: listed?.slots ?? defaultSlots,
        };
    }

    list(): readonly OwnedUpstream[] {
        const { address, membership } = this.options;
        const { list } = membership.getList();
        if (list !== this.indexed) {
            this.indexed = list;
            this.ids = list.upstreams.filter(upstream => upstream.address === address).map(({ id }) => id);
        }
        return this.ids.flatMap(id => this.find(id) ?? []);
    }
}
