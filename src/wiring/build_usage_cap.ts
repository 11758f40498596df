import type { Beacon } from "../beacon/beacon.ts";
import { BeaconKind } from "../beacon/beacon_kind.ts";
import type { BeaconTransport } from "../beacon/beacon_transport.ts";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { DaemonAdapters } from "../daemon_adapters.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import { noRevision } from "../published/no_revision.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import { AllowanceExchange } from "../usage_cap/allowance_exchange.ts";
import { AllowanceLender } from "../usage_cap/allowance_lender.ts";
import { FleetUsageCap } from "../usage_cap/fleet_usage_cap.ts";
import { KnownDaemonTable } from "../usage_cap/known_daemon_table.ts";
import { LenderDirectory } from "../usage_cap/lender_directory.ts";
import { lenderTiming } from "../usage_cap/lender_timing.ts";
import { UsageCapFilter } from "../usage_cap/usage_cap_filter.ts";
import type { BaseParts } from "./base_parts.ts";
import type { UsageCapParts } from "./usage_cap_parts.ts";

interface Options {
    readonly base: BaseParts;
    readonly settings: Pick<ServeSettings, "failureDomain">;
    readonly adapters: Pick<DaemonAdapters, "getUsageCapBounds">;
    readonly membership: MembershipTable;
    readonly configs: ActiveConfigReader;
    readonly transport: BeaconTransport;
    /** Milliseconds since the store was last reached; undefined when it never was. */
    readonly getStoreAgeMs: () => number | undefined;
}

/** Builds the usage caps of a daemon that follows the platform's store and sends beacons. */
export function buildUsageCap(options: Options): UsageCapParts {
    const { adapters, base, configs, membership, settings, transport } = options;
    const daemonId = base.identity.ownerId;
    const startedAtMs = base.clock.getMonotonicMs();
    const getDaemons = () => membership.getDaemons();
    const getBounds = () => adapters.getUsageCapBounds();
    const getListAgeMs = () => options.getStoreAgeMs() ?? Infinity;
    const directory = new LenderDirectory({ daemonId, startedAtMs, getDaemons, ...lenderTiming });
    const lender = new AllowanceLender({
        ...base,
        ...lenderTiming,
        directory,
        getBounds,
        getListAgeMs,
    });
    const cap = new FleetUsageCap({
        ...base,
        ...settings,
        ...lenderTiming,
        daemonId,
        startedAtMs,
        directory,
        getBounds,
        getListAgeMs,
    });
    const buildBeacon = (content: Pick<Beacon, "allowanceAsk" | "allowanceGrant">): Beacon => ({
        kind: BeaconKind.Update,
        daemonId,
        incarnation: base.identity.incarnation,
        reports: [],
        counts: [],
        revision: noRevision,
        suspects: [],
        ...content,
    });
    const knownDaemons = new KnownDaemonTable({ getDaemons });
    const exchange = new AllowanceExchange({
        ...base,
        cap,
        lender,
        directory,
        transport: {
            sendAsk: ({ address }, allowanceAsk) => transport.send(address, buildBeacon({ allowanceAsk })),
            sendGrant: ({ address }, allowanceGrant) =>
                transport.send(address, buildBeacon({ allowanceGrant })),
        },
        findOrganisation: name => configs.getActive()?.configuration.organisations?.get(name),
        findDaemon: id => knownDaemons.find(id, base.clock.getMonotonicMs()),
    });
    return {
        cap,
        filter: new UsageCapFilter({ ...base, cap, allowances: exchange }),
        start: () => exchange.start(),
        handleBeacon: ({ allowanceAsk, allowanceGrant, daemonId: senderId }) => {
            knownDaemons.update(base.clock.getMonotonicMs());
            if (allowanceAsk !== undefined) {
                exchange.handleAsk(senderId, allowanceAsk);
            }
            if (allowanceGrant !== undefined) {
                exchange.handleGrant(senderId, allowanceGrant);
            }
            return allowanceAsk !== undefined || allowanceGrant !== undefined;
        },
        close: () => exchange.close(),
    };
}
