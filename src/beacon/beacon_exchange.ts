/**
 * Exchanges the states of upstreams between daemons at a cost that does not grow with the number of daemons.
 *
 * In each period a daemon probes one daemon of its group and one other daemon of its failure domain, each in
 * random order. A probe contains the state of one upstream of the sender and the newest states of others, so
 * that states spread by gossip. A condition change, when an upstream becomes healthy, failing or leaving, is
 * sent at once to a few daemons, which forward it, and to one daemon of each other failure domain.
 *
 * @example
 * ```ts
 * const exchange = new BeaconExchange(options);
 * exchange.start();
 * exchange.recordChange();
 * exchange.handleBeacon(beacon);
 * exchange.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { LeavingAnnouncer } from "../lifecycle/leaving_announcer.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { AttemptCountExchange } from "./attempt_count_exchange.ts";
import type { Beacon } from "./beacon.ts";
import { BeaconKind } from "./beacon_kind.ts";
import { BeaconSender } from "./beacon_sender.ts";
import type { BeaconTransport } from "./beacon_transport.ts";
import { ConditionChangeSender } from "./condition_change_sender.ts";
import { DomainPeers } from "./domain_peers.ts";
import { PeerFailureDetector } from "./peer_failure_detector.ts";
import { PeerStatusLog } from "./peer_status_log.ts";
import type { PeerStatusReader } from "./peer_status_reader.ts";
import type { ProofExchange } from "./proof_exchange.ts";
import { ProofProbes } from "./proof_probes.ts";
import { RandomRoundRobin } from "./random_round_robin.ts";
import { ReportFreshness } from "./report_freshness.ts";
import { ReportTable } from "./report_table.ts";
import { RestartTracker } from "./restart_tracker.ts";
import type { RevisionExchange } from "./revision_exchange.ts";
import type { StateObserver } from "./state_observer.ts";
import { StoreBeacons } from "./store_beacons.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly identity: OwnerIdentity;
    readonly failureDomain: string;
    readonly membership: MembershipTable;
    readonly transport: BeaconTransport;
    readonly observer: StateObserver;
    readonly listStates: () => readonly UpstreamState[];
    readonly counts: AttemptCountExchange;
    readonly revisions: RevisionExchange;
    readonly proofs: ProofExchange;
    readonly logger: Logger;
}

/**
 * Milliseconds between two rounds of probes. Two probes and two acknowledgements in each round, sent and
 * received, take about 5 KB a second of the 6 KB that a daemon may use for control.
 */
const periodMs = 300;
/**
 * Reports of other daemons' upstreams in a probe. In a probe within the group the counts replace one of them.
 */
const reportsPerProbe = 3;
const reportsPerGroupProbe = 2;
/** Additional probes in a round to daemons that have not acknowledged one. */
const extraProbes = 2;

/** Sends and receives beacons. */
export class BeaconExchange implements LeavingAnnouncer, PeerStatusReader {
    readonly storeBeacons: StoreBeacons;
    private readonly peers: DomainPeers;
    private readonly failureDetector = new PeerFailureDetector();
    private readonly reports = new ReportTable();
    private readonly restarts: RestartTracker;
    private readonly sender: BeaconSender;
    private readonly changeSender: ConditionChangeSender;
    private readonly groupOrder: RandomRoundRobin;
    private readonly outsideOrder: RandomRoundRobin;
    private timer: Timer | undefined;
    private nextOwnIndex = 0;
    private readonly statusLog: PeerStatusLog;
    private readonly proofProbes: ProofProbes;
    private closed = false;

    constructor(private readonly options: Options) {
        const { failureDomain, identity, membership, random } = options;
        const getDaemons = () => membership.getDaemons();
        const { reports } = this;
        const peers = new DomainPeers({ daemonId: identity.ownerId, failureDomain, getDaemons });
        this.peers = peers;
        this.sender = new BeaconSender({ ...options, peers, failureDetector: this.failureDetector });
        this.changeSender = new ConditionChangeSender({ ...options, peers, reports, sender: this.sender });
        this.restarts = new RestartTracker(membership);
        this.storeBeacons = new StoreBeacons({
            ...options,
            daemonId: identity.ownerId,
            peers,
            failureDetector: this.failureDetector,
            sender: this.sender,
        });
        this.statusLog = new PeerStatusLog(options.logger);
        this.proofProbes = new ProofProbes(options);
        this.groupOrder = new RandomRoundRobin(random);
        this.outsideOrder = new RandomRoundRobin(random);
    }

    start(): void {
        this.sendRound();
    }

    close(): void {
        this.closed = true;
        this.timer?.close();
        this.changeSender.close();
    }

    /** Must be called when the state of an owned upstream may have changed. */
    recordChange(): void {
        if (!this.closed) {
            this.changeSender.recordStates(this.options.listStates());
        }
    }

    sendLeaving(): void {
        this.recordChange();
    }

    handleBeacon(beacon: Beacon): void {
        const { clock, identity, membership, revisions } = this.options;
        const { counts, daemonId, incarnation, kind } = beacon;
        if (this.closed || daemonId === identity.ownerId) {
            return;
        }
        const nowMs = clock.getMonotonicMs();
        this.restarts.update(daemonId, nowMs);
        const before = membership.getIncarnation(daemonId);
        membership.recordIncarnation(daemonId, incarnation, false);
        const hasRestarted = before !== undefined && before !== incarnation
            && membership.getIncarnation(daemonId) === incarnation;
        this.restarts.update(daemonId, nowMs);
        this.updatePeers();
        const peer = this.peers.find(daemonId);
        if (peer !== undefined && kind === BeaconKind.Probe) {
            this.sender.send(peer, BeaconKind.Ack, [], beacon.probeNumber);
        }
        if (peer !== undefined && kind === BeaconKind.Ack) {
            this.failureDetector.recordAck(daemonId, nowMs);
        }
        if (peer !== undefined) {
            this.proofProbes.recordBeacon(beacon, nowMs);
        }
        if (this.peers.isInGroup(daemonId) && kind !== BeaconKind.Update) {
            this.options.counts.recordPeerCounts(daemonId, incarnation, counts);
        }
        // A daemon of another failure domain can tell that this one lags behind, and not who reads the store here.
        const sender = membership.getDaemons().get(daemonId);
        if (sender !== undefined) {
            const storeAgeMs = peer === undefined ? undefined : beacon.storeAgeMs;
            const { hasLargeChange, revision } = beacon;
            revisions.recordPeer({ address: sender.address, revision, hasLargeChange, storeAgeMs });
        }
        for (const peerId of beacon.suspects) {
            if (this.peers.find(peerId) !== undefined) {
                this.failureDetector.recordSuspicion(peerId, nowMs);
            }
        }
        if (hasRestarted) {
            this.reports.setReplaced(id => membership.find(id)?.ownerId === daemonId);
        }
        this.handleReports(beacon, nowMs);
    }

    /** True when the path to a daemon of the local failure domain is down in either direction. */
    isUnresponsive(daemonId: string): boolean {
        return this.failureDetector.isUnresponsive(daemonId, this.options.clock.getMonotonicMs());
    }

    /** Fraction of all daemons that are in the group of this one and share their counts with it. */
    getGroupShare(): number {
        this.updatePeers();
        return this.peers.getGroupShare();
    }

    /**
     * Identifiers of the other daemons of the group. The same set object is returned until the daemon list
     * changes.
     */
    getGroupPeerIds(): ReadonlySet<string> {
        this.updatePeers();
        return this.peers.getGroupPeerIds();
    }

    private handleReports({ daemonId, reports }: Beacon, nowMs: number): void {
        const { failureDomain, identity, membership, observer } = this.options;
        let hasChange = false;
        for (const report of reports) {
            const { upstreamId } = report.state;
            const upstream = membership.find(upstreamId);
            const ownerId = upstream?.ownerId;
            if (ownerId === identity.ownerId || this.isReplaced(ownerId, daemonId, nowMs - report.ageMs)) {
                continue;
            }
            const isLocal = upstream?.failureDomain === failureDomain;
            const freshness = this.reports.record(report, { isLocal, nowMs });
            if (freshness !== ReportFreshness.Stale) {
                observer.recordState(report.state, nowMs - report.ageMs);
            }
            hasChange ||= freshness === ReportFreshness.ConditionChanged;
        }
        if (hasChange) {
            this.changeSender.forwardChanges(daemonId, nowMs);
        }
    }

    /**
     * True when another daemon forwards a report that the owner made before this daemon noticed its restart.
     */
    private isReplaced(ownerId: string | undefined, fromId: string, madeAtMs: number): boolean {
        return ownerId !== undefined && ownerId !== fromId
            && madeAtMs < this.restarts.update(ownerId, this.options.clock.getMonotonicMs());
    }

    /**
     * Probes one daemon of the group, one other daemon of the failure domain, and some that have not
     * acknowledged.
     */
    private sendRound(): void {
        const { clock, listStates, timers } = this.options;
        this.timer = timers.start(periodMs, () => this.sendRound());
        this.updatePeers();
        const nowMs = clock.getMonotonicMs();
        this.statusLog.record(this.failureDetector.listUnresponsive(nowMs));
        const states = listStates();
        this.changeSender.recordStates(states);
        const targets = new Set<DaemonInfo>();
        for (const peerId of this.failureDetector.listProbeTargets(nowMs).slice(0, extraProbes)) {
            const peer = this.peers.find(peerId);
            if (peer !== undefined) {
                targets.add(peer);
            }
        }
        for (
            const peer of [
                this.groupOrder.take(this.peers.listGroup()),
                this.outsideOrder.take(this.peers.listOutsideGroup()),
            ]
        ) {
            if (peer !== undefined) {
                targets.add(peer);
            }
        }
        for (const peer of targets) {
            this.failureDetector.recordProbe(peer.id, nowMs);
            this.sendProbe(peer, states, nowMs);
        }
        this.sendProofProbe(targets, nowMs);
    }

    /** Asks for a newer proof of the configuration when the own one is old and no other probe asks the same daemon. */
    private sendProofProbe(probed: ReadonlySet<DaemonInfo>, nowMs: number): void {
        const responsive = this.peers.listDomain().filter(({ id }) => !this.isUnresponsive(id));
        const peer = this.proofProbes.takeTarget(responsive);
        if (peer !== undefined && !probed.has(peer)) {
            this.sender.send(peer, BeaconKind.Probe, [], this.proofProbes.createNumber(peer.id, nowMs));
        }
    }

    private sendProbe(peer: DaemonInfo, states: readonly UpstreamState[], nowMs: number): void {
        const isInGroup = this.peers.isInGroup(peer.id);
        const others = this.reports.take(isInGroup ? reportsPerGroupProbe : reportsPerProbe, nowMs);
        this.nextOwnIndex += 1;
        const own = states[this.nextOwnIndex % Math.max(1, states.length)];
        this.sender.send(
            peer,
            BeaconKind.Probe,
            own === undefined ? others : [this.sender.buildReport(own), ...others],
            this.proofProbes.createNumber(peer.id, nowMs),
        );
    }

    private updatePeers(): void {
        if (this.peers.update()) {
            const { membership } = this.options;
            this.failureDetector.removeUnlisted(id => this.peers.find(id) !== undefined);
            this.restarts.removeUnlisted(id => membership.getDaemons().has(id));
            this.reports.removeUnlisted(id => membership.find(id) !== undefined);
        }
    }
}
