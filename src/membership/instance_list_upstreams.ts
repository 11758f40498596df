import type { InstanceList } from "../published/instance_list.ts";
import type { OwnedUpstream } from "../queue/owned_upstream.ts";
import type { OwnedUpstreamReader } from "../queue/owned_upstream_reader.ts";
import type { MembershipTable } from "./membership_table.ts";

interface Options {
    readonly membership: MembershipTable;
    /** Address of the one upstream on the same instance as this daemon. */
    readonly address: string;
    /** Service of that upstream while it is not in the list. */
    readonly getService: () => string;
}

/** Slots to assume while the upstream is not in the list. */
const defaultSlots = 1;

/**
 * Finds the upstream on the same instance as this daemon by its address, whatever its identifier. An entry
 * daemon may know a new upstream before this daemon does; the upstream itself refuses requests that are meant
 * for another one.
 */
export class InstanceListUpstreams implements OwnedUpstreamReader {
    private indexedList: InstanceList | undefined;
    /** Identifiers of the listed upstreams at the address, computed once per list. */
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
        if (list !== this.indexedList) {
            this.indexedList = list;
            this.ids = list.upstreams.filter(upstream => upstream.address === address).map(({ id }) => id);
        }
        return this.ids.flatMap(id => this.find(id) ?? []);
    }
}
