import type { Upstream } from "../core/upstream.ts";
import type { OwnerUpstreamReader } from "../operations/owner_upstream_reader.ts";
import type { InstanceList } from "../published/instance_list.ts";

/** Upstreams by owner and service, built once for each instance list. */
export class OwnerUpstreamIndex implements OwnerUpstreamReader {
    private indexed: InstanceList | undefined;
    private index = new Map<string, Upstream[]>();

    constructor(private readonly getList: () => InstanceList) {}

    list(ownerId: string, service: string): readonly Upstream[] {
        const list = this.getList();
        if (list !== this.indexed) {
            this.indexed = list;
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

/** Names of daemons and services hold no line break. */
function formatIndexKey(ownerId: string, service: string): string {
    return `${ownerId}\n${service}`;
}
