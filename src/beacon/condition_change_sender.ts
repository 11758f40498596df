/**
 * Announces condition changes of upstreams at once: to a few daemons of the local failure domain, which
 * forward them, and to one daemon of each other failure domain.
 *
 * @example
 * ```ts
 * const changeSender = new ConditionChangeSender(options);
 * changeSender.recordStates(listStates());
 * changeSender.forwardChanges("daemon-2", nowMs);
 * changeSender.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import { BeaconKind } from "./beacon_kind.ts";
import type { BeaconSender } from "./beacon_sender.ts";
import { ConditionChangeLimiter } from "./condition_change_limiter.ts";
import { decideUpstreamCondition } from "./decide_upstream_condition.ts";
import type { DomainPeers } from "./domain_peers.ts";
import { RandomRoundRobin } from "./random_round_robin.ts";
import type { ReportTable } from "./report_table.ts";
import { UpstreamCondition } from "./upstream_condition.ts";
import type { UpstreamReport } from "./upstream_report.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly peers: DomainPeers;
    readonly sender: BeaconSender;
    readonly reports: ReportTable;
    readonly listStates: () => readonly UpstreamState[];
}

/** Reports in a beacon with condition changes. */
const reportsPerUpdate = 6;
/** Daemons to which an owner sends its changes, and to which a daemon forwards changes that it receives. */
const ownFanOut = 3;
const relayFanOut = 2;
/**
 * Interval in milliseconds, multiplied by the number of other failure domains, between two rounds of beacons
 * to them. A flapping upstream then causes a bounded number of beacons for any number of failure domains.
 */
const remoteIntervalMs = 100;
/** Beacons with the same change to each other failure domain; the second one covers the loss of the first. */
const remoteSends = 2;

/** Sends condition changes of owned upstreams and forwards those received from other daemons. */
export class ConditionChangeSender {
    private readonly limiter: ConditionChangeLimiter;
    private readonly peerOrder: RandomRoundRobin;
    private remoteTimer: Timer | undefined;
    /** Condition of each owned upstream as last announced. */
    private readonly announced = new Map<string, UpstreamCondition>();
    /** Remaining sends to other failure domains for each owned upstream with a change. */
    private readonly remoteSendsLeft = new Map<string, number>();
    private closed = false;

    constructor(private readonly options: Options) {
        this.limiter = new ConditionChangeLimiter(options.clock);
        this.peerOrder = new RandomRoundRobin(options.random);
    }

    close(): void {
        this.closed = true;
        this.remoteTimer?.close();
    }

    /** Forwards condition changes after a beacon of the daemon `fromId`. */
    forwardChanges(fromId: string, nowMs: number): void {
        if (this.limiter.hasToken()) {
            this.send(
                this.options.reports.takeConditionChanges(reportsPerUpdate, nowMs),
                relayFanOut,
                fromId,
            );
        }
    }

    /** Sends the states of owned upstreams whose condition has changed. */
    recordStates(states: readonly UpstreamState[]): void {
        const { sender } = this.options;
        this.removeNotOwned(states);
        const changed: UpstreamState[] = [];
        for (const state of states) {
            const condition = decideUpstreamCondition(state);
            if (condition !== (this.announced.get(state.upstreamId) ?? UpstreamCondition.Healthy)) {
                this.announced.set(state.upstreamId, condition);
                this.remoteSendsLeft.set(state.upstreamId, remoteSends);
                changed.push(state);
            }
        }
        if (changed.length > 0) {
            this.send(changed.slice(0, reportsPerUpdate).map(state => sender.buildReport(state)), ownFanOut);
        }
        if (this.remoteSendsLeft.size > 0 && this.remoteTimer === undefined) {
            this.sendToRemoteDomains();
        }
    }

    /** Removes upstreams that this daemon no longer owns. */
    private removeNotOwned(states: readonly UpstreamState[]): void {
        for (
            const id of [...this.announced.keys()].filter(id =>
                !states.some(({ upstreamId }) => upstreamId === id)
            )
        ) {
            this.announced.delete(id);
            this.remoteSendsLeft.delete(id);
        }
    }

    private send(reports: readonly UpstreamReport[], fanOut: number, fromId?: string): void {
        for (let sent = 0; sent < fanOut; sent += 1) {
            const peer = this.peerOrder.take(this.options.peers.listDomain());
            if (peer !== undefined && peer.id !== fromId && this.limiter.takeToken()) {
                this.options.sender.send(peer, BeaconKind.Update, reports);
            }
        }
    }

    /** Sends condition changes to one daemon of each other failure domain, which forwards them. */
    private sendToRemoteDomains(): void {
        this.remoteTimer = undefined;
        const { listStates, peers, random, sender, timers } = this.options;
        const states = listStates().filter(({ upstreamId }) => this.remoteSendsLeft.has(upstreamId))
            .slice(0, reportsPerUpdate);
        if (this.closed || states.length === 0) {
            return;
        }
        const reports = states.map(state => sender.buildReport(state));
        for (const { upstreamId } of states) {
            const left = this.remoteSendsLeft.get(upstreamId)! - 1;
            if (left > 0) {
                this.remoteSendsLeft.set(upstreamId, left);
            }
            else {
                this.remoteSendsLeft.delete(upstreamId);
            }
        }
        const domains = peers.listRemoteDomains();
        for (const daemons of domains) {
            const daemon = daemons[Math.floor(random.getFloat() * daemons.length)];
            if (daemon !== undefined) {
                sender.send(daemon, BeaconKind.Update, reports);
            }
        }
        this.remoteTimer = timers.start(
            remoteIntervalMs * Math.max(1, domains.length),
            () => this.sendToRemoteDomains(),
        );
    }
}
