import type { Clock } from "../core/clock.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { AttemptCountExchange } from "./attempt_count_exchange.ts";
import { BeaconKind } from "./beacon_kind.ts";
import type { BeaconTransport } from "./beacon_transport.ts";
import type { DomainPeers } from "./domain_peers.ts";
import type { PeerFailureDetector } from "./peer_failure_detector.ts";
import type { ProofExchange } from "./proof_exchange.ts";
import type { RevisionExchange } from "./revision_exchange.ts";
import type { UpstreamReport } from "./upstream_report.ts";

interface Options {
    readonly clock: Clock;
    readonly identity: OwnerIdentity;
    readonly transport: BeaconTransport;
    readonly counts: AttemptCountExchange;
    readonly revisions: RevisionExchange;
    readonly proofs: ProofExchange;
    readonly peers: DomainPeers;
    readonly failureDetector: PeerFailureDetector;
}

/** Services whose counts one beacon contains. */
const countsPerBeacon = 6;
/** Suspected daemons that one beacon names. */
const suspectsPerBeacon = 2;

/** Builds and sends the beacons of one daemon. */
export class BeaconSender {
    private sequence: number;

    constructor(private readonly options: Options) {
        // The wall clock makes the numbers of a new process higher than those of the former process of the
        // instance.
        this.sequence = options.clock.getWallMs();
    }

    /** `probeNumber` is that of the probe that is sent or acknowledged. */
    send(
        peer: DaemonInfo,
        kind: BeaconKind,
        reports: readonly UpstreamReport[],
        probeNumber?: number,
    ): void {
        const { counts, identity, failureDetector, peers, proofs, revisions, transport } = this.options;
        transport.send(peer.address, {
            kind,
            daemonId: identity.ownerId,
            incarnation: identity.incarnation,
            reports,
            counts: kind !== BeaconKind.Update && peers.isInGroup(peer.id)
                ? counts.listCounts(countsPerBeacon)
                : [],
            revision: revisions.getRevision(),
            hasLargeChange: revisions.hasLargeChange(),
            storeAgeMs: revisions.getStoreAgeMs(),
            claim: proofs.getClaim(),
            probeNumber,
            // A probe moves a daemon to the end of the list, so that all suspects are named in turn.
            suspects: failureDetector.listSuspects().slice(-suspectsPerBeacon),
        });
    }

    /** Builds a report of an owned upstream with the next sequence number. */
    buildReport(state: UpstreamState): UpstreamReport {
        this.sequence += 1;
        return { state, sequence: this.sequence, ageMs: 0 };
    }
}
