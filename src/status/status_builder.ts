/**
 * Snapshot of the status of this daemon, for the administration interface.
 *
 * @module
 */
import type { ServiceConfig } from "../config/service_config.ts";
import type { UpstreamStatusReader } from "../health/upstream_status_reader.ts";
import type { Lifecycle } from "../lifecycle/lifecycle.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { ConfigStore } from "../published/config_store.ts";
import type { OwnedUpstreamReader } from "../queue/owned_upstream_reader.ts";
import type { UpstreamStateBuilder } from "../settle/upstream_state_builder.ts";
import type { DaemonStatus } from "./daemon_status.ts";
import type { ServiceStatus } from "./service_status.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly failureDomain: string;
    readonly region: string;
    readonly upstreams: OwnedUpstreamReader;
    readonly lifecycle: Lifecycle;
    readonly store: ConfigStore;
    readonly membership: MembershipTable;
    readonly states: UpstreamStateBuilder;
    readonly health: UpstreamStatusReader;
}

/** Builds the status from the components of the daemon, without changing them. */
export class StatusBuilder {
    constructor(private readonly options: Options) {}

    build(): DaemonStatus {
        const { failureDomain, identity, lifecycle, membership, region, states, store, upstreams } =
            this.options;
        const active = store.getActive();
        const services = [...active?.configuration.services.values() ?? []];
        return {
            daemonId: identity.ownerId,
            incarnation: identity.incarnation,
            failureDomain,
            region,
            state: lifecycle.getState(),
            requestsInFlight: lifecycle.countInFlight(),
            configuration: active === undefined ? undefined : {
                version: active.version,
                digest: active.digest,
                team: active.configuration.team,
            },
            rejected: store.getRejected(),
            instanceListVersion: membership.getVersion(),
            services: services.map(service => this.buildService(service)),
            owned: upstreams.list().map(upstream => states.build(upstream.id)).filter(state =>
                state !== undefined
            ),
        };
    }

    private buildService(service: ServiceConfig): ServiceStatus {
        const { health, membership } = this.options;
        const statuses = new Map(health.listStatus(service).map(status => [status.upstreamId, status]));
        const { upstreams } = membership.getList().list;
        return {
            name: service.name,
            floor: service.floor,
            members: service.members,
            upstreams: upstreams.filter(upstream => upstream.service === service.name).map(upstream => ({
                id: upstream.id,
                ownerId: upstream.ownerId,
                failureDomain: upstream.failureDomain,
                leaving: membership.isLeaving(upstream.id),
                ejected: statuses.get(upstream.id)?.ejected ?? false,
                health: statuses.get(upstream.id),
            })),
        };
    }
}
