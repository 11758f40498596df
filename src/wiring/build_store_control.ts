import { BeaconExchange } from "../beacon/beacon_exchange.ts";
import type { BeaconTransport } from "../beacon/beacon_transport.ts";
import type { DaemonAdapters } from "../daemon_adapters.ts";
import { UdpBeaconTransport } from "../edge/beacon_udp/udp_beacon_transport.ts";
import { ConnectStorePeerClient } from "../edge/control/connect_store_peer_client.ts";
import { TransportCache } from "../edge/control/transport_cache.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { IoActivity } from "../metrics/io_activity.ts";
import { ConfigProofExchange } from "../published/config_proof_exchange.ts";
import { ConfigStore } from "../published/config_store.ts";
import { StoreControlPlane } from "../published/store_control_plane.ts";
import { StoreFollower } from "../published/store_follower.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import type { BaseParts } from "./base_parts.ts";
import type { BeaconBindings } from "./beacon_bindings.ts";
import { buildUsageCap } from "./build_usage_cap.ts";
import type { ControlParts } from "./control_parts.ts";

/** Builds the control plane of a daemon that follows the platform's store itself. */
export function buildStoreControl(
    settings: ServeSettings,
    base: BaseParts,
    adapters: DaemonAdapters,
): ControlParts {
    const store = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const transports = new TransportCache();
    const peerClient = new ConnectStorePeerClient(transports);
    const follower = new StoreFollower({
        ...base,
        store: adapters.store,
        configs: store,
        membership,
        startWaitMs: settings.startWaitMs,
        getApplyMs: () => adapters.getApplyMs(),
        getSilenceMs: () => adapters.getSilenceMs(),
        getBounds: () => adapters.getRevocationBounds(),
        peers: {
            getRank: () => exchange.storeBeacons.getRank(),
            sendRevision: () => exchange.storeBeacons.sendRevision(),
            sendContact: () => exchange.storeBeacons.sendContact(),
            fetchChanges: (address, afterRevision) => peerClient.fetchChanges(address, afterRevision),
        },
    });
    const bindings: BeaconBindings = {
        listStates: () => [],
        observer: { recordState: () => undefined },
        counts: { listCounts: () => [], recordPeerCounts: () => undefined },
        listNeighbours: () => [],
    };
    const socket = new UdpBeaconTransport(base.metrics);
    const transport: BeaconTransport = {
        send: (address, beacon) => {
            base.activity.add(IoActivity.DatagramsSent);
            socket.send(address, beacon);
        },
    };
    const usageCap = buildUsageCap({
        base,
        settings,
        adapters,
        membership,
        configs: store,
        transport,
        getStoreAgeMs: () => follower.getStoreAgeMs(),
    });
    const exchange: BeaconExchange = new BeaconExchange({
        ...base,
        failureDomain: settings.failureDomain,
        membership,
        transport,
        revisions: follower,
        proofs: new ConfigProofExchange({
            ...base,
            configs: store,
            proof: follower.proof,
            getBounds: () => adapters.getRevocationBounds(),
        }),
        observer: { recordState: (state, nowMs) => bindings.observer.recordState(state, nowMs) },
        listStates: () => bindings.listStates(),
        counts: {
            listCounts: limit => bindings.counts.listCounts(limit),
            recordPeerCounts: (...peer) => bindings.counts.recordPeerCounts(...peer),
        },
    });
    return {
        store,
        membership,
        controlPlane: new StoreControlPlane({
            ...base,
            follower,
            beacons: exchange,
            openSocket: () => {
                usageCap.start();
                return socket.open(settings.peerAddress, beacon => {
                    base.activity.add(IoActivity.DatagramsReceived);
                    if (!usageCap.handleBeacon(beacon)) {
                        exchange.handleBeacon(beacon);
                    }
                });
            },
            closeSocket: () => socket.close(),
        }),
        announcer: exchange,
        gossipHandler: undefined,
        storeChanges: follower,
        proof: follower.proof,
        transports,
        beacons: { exchange, bindings },
        usageCap,
        closers: [usageCap, transports],
    };
}
