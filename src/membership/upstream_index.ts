import type { Upstream } from "../core/upstream.ts";
import type { DaemonInfo } from "./daemon_info.ts";
import type { UpstreamChange } from "./upstream_change.ts";

/**
 * Index of the upstreams of the instance list by identifier, service and daemon. An update rebuilds only the
 * services and daemons that changed, because a list of 24,000 upstreams changes about once every eight
 * seconds.
 */
export class UpstreamIndex {
    private readonly upstreams = new Map<string, Upstream>();
    private readonly byService = new Map<string, readonly Upstream[]>();
    private daemons: ReadonlyMap<string, DaemonInfo> = new Map();

    getUpstream(id: string): Upstream | undefined {
        return this.upstreams.get(id);
    }

    /** Upstreams of a service, sorted by identifier. */
    list(service: string): readonly Upstream[] {
        return this.byService.get(service) ?? [];
    }

    getDaemons(): ReadonlyMap<string, DaemonInfo> {
        return this.daemons;
    }

    /** Replaces the list by a complete one without duplicates; returns the changes, removals first. */
    update(upstreams: readonly Upstream[]): readonly UpstreamChange[] {
        const addedOrChanged: UpstreamChange[] = [];
        for (const after of upstreams) {
            const before = this.upstreams.get(after.id);
            if (before !== after && (before === undefined || !isEqual(before, after))) {
                this.upstreams.set(after.id, after);
                addedOrChanged.push({ before, after });
            }
        }
        const changes = [...this.removeUnlisted(upstreams), ...addedOrChanged];
        this.updateGroups(changes);
        return changes;
    }

    private removeUnlisted(upstreams: readonly Upstream[]): readonly UpstreamChange[] {
        // All listed upstreams are in the map now, each once, so equal sizes mean that none was removed.
        if (this.upstreams.size === upstreams.length) {
            return [];
        }
        const listed = new Set(upstreams.map(upstream => upstream.id));
        const removed = [...this.upstreams.values()].filter(upstream => !listed.has(upstream.id));
        for (const { id } of removed) {
            this.upstreams.delete(id);
        }
        return removed.map(before => ({ before, after: undefined }));
    }

    private updateGroups(changes: readonly UpstreamChange[]): void {
        const services = new Map<string, Upstream[]>();
        const owners = new Map<string, Upstream[]>();
        for (const upstream of changes.flatMap(({ before, after }) => [before, after])) {
            if (upstream !== undefined) {
                services.set(upstream.service, []);
                owners.set(upstream.ownerId, []);
            }
        }
        for (const upstream of this.upstreams.values()) {
            services.get(upstream.service)?.push(upstream);
            owners.get(upstream.ownerId)?.push(upstream);
        }
        for (const [service, members] of services) {
            this.byService.set(service, members.sort((left, right) => left.id < right.id ? -1 : 1));
        }
        const daemons = new Map(this.daemons);
        for (const [ownerId, [first, ...others]] of owners) {
            if (first === undefined) {
                daemons.delete(ownerId);
                continue;
            }
            const { ownerAddress: address, failureDomain, region } = first;
            const leaving = first.leaving && others.every(upstream => upstream.leaving);
            daemons.set(ownerId, { id: ownerId, address, failureDomain, region, leaving });
        }
        this.daemons = daemons;
    }
}

function isEqual(left: Upstream, right: Upstream): boolean {
    return left.leaving === right.leaving && left.service === right.service && left.ownerId === right.ownerId
        && left.ownerAddress === right.ownerAddress && left.failureDomain === right.failureDomain
        && left.region === right.region && left.address === right.address && left.slots === right.slots;
}
