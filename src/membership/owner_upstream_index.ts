import type { Upstream } from "../core/upstream.ts";
import type { OwnerUpstreamReader } from "../operations/owner_upstream_reader.ts";
import type { InstanceList } from "../published/instance_list.ts";

/** Index of upstreams by owner and service, rebuilt once per instance list. */
export class OwnerUpstreamIndex implements OwnerUpstreamReader {
    private indexedList: InstanceList | undefined;
    private index = new Map<string, Upstream[]>();

    constructor(private readonly getList: () => InstanceList) {}

    list(ownerId: string, service: string): readonly Upstream[] {
        const list = this.getList();
        if (list !== this.indexedList) {
            this.indexedList = list;
            this.index = buildIndex(list.upstreams);
        }
        return this.index.get(formatIndexKey(ownerId, service)) ?? [];
    }
}

function buildIndex(upstreams: readonly Upstream[]): Map<string, Upstream[]> {
    const index = new Map<string, Upstream[]>();
    for (const upstream of upstreams) {
        const key = formatIndexKey(upstream.ownerId, upstream.service);
        const entry = index.get(key);
        if (entry === undefined) {
            index.set(key, [upstream]);
        }
        else {
            entry.push(upstream);
        }
    }
    return index;
}

/** Joins with a line break, which names of daemons and services do not contain. */
function formatIndexKey(ownerId: string, service: string): string {
    return `${ownerId}\n${service}`;
}
