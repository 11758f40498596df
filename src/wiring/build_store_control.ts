import type { DaemonAdapters } from "../daemon_adapters.ts";
import { TransportCache } from "../edge/control/transport_cache.ts";
import { SilentAnnouncer } from "../lifecycle/silent_announcer.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { ConfigStore } from "../published/config_store.ts";
import { StoreFollower } from "../published/store_follower.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import type { BaseParts } from "./base_parts.ts";
import type { ControlParts } from "./control_parts.ts";

/** Control plane of a daemon that follows the platform's store itself. */
export function buildStoreControl(
    settings: ServeSettings,
    base: BaseParts,
    adapters: DaemonAdapters,
): ControlParts {
    const store = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const transports = new TransportCache();
    const follower = new StoreFollower({
        ...base,
        store: adapters.store,
        configs: store,
        membership,
        startWaitMs: settings.startWaitMs,
    });
    return {
        store,
        membership,
        controlPlane: follower,
        announcer: new SilentAnnouncer(),
        gossipHandler: undefined,
        transports,
        closers: [transports],
    };
}
