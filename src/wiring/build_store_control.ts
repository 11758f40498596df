import { BeaconExchange } from "../beacon/beacon_exchange.ts";
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
    const transport = new UdpBeaconTransport(base.metrics);
    const exchange: BeaconExchange = new BeaconExchange({
        ...base,
        failureDomain: settings.failureDomain,
        membership,
        transport: {
            send: (address, beacon) => {
                base.activity.add(IoActivity.DatagramsSent);
                transport.send(address, beacon);
            },
        },
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
            openSocket: () =>
                transport.open(settings.peerAddress, beacon => {
                    base.activity.add(IoActivity.DatagramsReceived);
                    exchange.handleBeacon(beacon);
                }),
            closeSocket: () => transport.close(),
        }),
        announcer: exchange,
        gossipHandler: undefined,
        storeChanges: follower,
        proof: follower.proof,
        transports,
        beacons: { exchange, bindings },
        closers: [transports],
    };
}
