/**
 * Division of the reading of the platform's store among the daemons of a failure domain, and the beacons that
 * tell them about it.
 *
 * @example
 * ```ts
 * if (storeBeacons.getRank() === 0) {
 *     storeBeacons.sendRevision();
 * }
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import { BeaconKind } from "./beacon_kind.ts";
import type { BeaconSender } from "./beacon_sender.ts";
import type { DomainPeers } from "./domain_peers.ts";
import type { PeerFailureDetector } from "./peer_failure_detector.ts";

interface Options {
    readonly daemonId: string;
    readonly clock: Clock;
    readonly peers: DomainPeers;
    readonly failureDetector: PeerFailureDetector;
    readonly sender: BeaconSender;
}

/** Ranks the daemons of the failure domain that respond by their identifiers. */
export class StoreBeacons {
    constructor(private readonly options: Options) {}

    /** 0 for the daemon that watches the store, 1 for its standby. */
    getRank(): number {
        const { daemonId } = this.options;
        return this.listCandidates().filter(({ id }) => id < daemonId).length;
    }

    /** Tells the daemons of the failure domain the revision that this one has read. */
    sendRevision(): void {
        const { peers, sender } = this.options;
        peers.update();
        peers.listDomain().forEach(peer => sender.send(peer, BeaconKind.Update, []));
    }

    /** Tells the daemon with the next rank that the store has just been reached. */
    sendContact(): void {
        const { daemonId, sender } = this.options;
        const later = this.listCandidates().filter(({ id }) => id > daemonId);
        const [standby] = later.sort((left, right) => left.id < right.id ? -1 : 1);
        if (standby !== undefined) {
            sender.send(standby, BeaconKind.Update, []);
        }
    }

    /** Other daemons that are not leaving and respond to probes. */
    private listCandidates(): readonly DaemonInfo[] {
        const { clock, failureDetector, peers } = this.options;
        const nowMs = clock.getMonotonicMs();
        peers.update();
        return peers.listDomain().filter(({ id, leaving }) =>
            !leaving && !failureDetector.isUnresponsive(id, nowMs)
        );
    }
}
