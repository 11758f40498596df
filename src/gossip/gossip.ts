/**
 * Exchanges document heads with peers every second and fetches newer documents.
 *
 * @example
 * ```ts
 * const gossip = new Gossip({ daemonId, incarnation, control, documents, fetcher, membership, store,
 *     selector, election, health, clock, timers, random, metrics });
 * gossip.start();
 * gossip.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { HealthReportExchange } from "../health/health_report_exchange.ts";
import type { LeavingAnnouncer } from "../lifecycle/leaving_announcer.ts";
import type { DaemonTable } from "../membership/daemon_table.ts";
import type { ConfigStore } from "../published/config_store.ts";
import { compareHeads } from "./compare_heads.ts";
import type { DaemonNotice } from "./daemon_notice.ts";
import type { DocumentFetcher } from "./document_fetcher.ts";
import type { GossipDocument } from "./gossip_document.ts";
import type { HeadExchange } from "./head_exchange.ts";
import { HeadOrder } from "./head_order.ts";
import type { HeadsSender } from "./heads_sender.ts";
import { NoticeBuffer } from "./notice_buffer.ts";
import type { Peer } from "./peer.ts";
import type { PeerControlClient } from "./peer_control_client.ts";
import type { PeerSelector } from "./peer_selector.ts";
import type { ReaderElection } from "./reader_election.ts";

interface Options {
    readonly daemonId: string;
    readonly incarnation: string;
    readonly control: PeerControlClient;
    readonly documents: readonly GossipDocument[];
    readonly fetcher: DocumentFetcher;
    readonly membership: DaemonTable;
    readonly store: ConfigStore;
    readonly selector: PeerSelector;
    readonly election: ReaderElection;
    readonly health: HealthReportExchange;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly metrics: Metrics;
    /** Milliseconds between rounds; the default is 1 s. */
    readonly roundMs?: number;
    /**
     * Number of peers contacted in each round; the default is one. With two, a fleet of 1,800 daemons would
     * come within 3% of the 6 KB/s that the control plane may use.
     */
    readonly peersPerRound?: number;
    /** Time limit of one exchange in milliseconds; the default is 2 s. */
    readonly timeoutMs?: number;
}

/** Sends gossip messages, and decides what they contain and how received ones are applied. */
export class Gossip implements LeavingAnnouncer, HeadsSender {
    private readonly notices = new NoticeBuffer();
    private timer: Timer | undefined;
    private closed = false;

    constructor(private readonly options: Options) {}

    /** Starts the rounds, the first after a random part of the interval, so that daemons do not align. */
    start(): void {
        const { daemonId, incarnation } = this.options;
        this.notices.add({ daemonId, incarnation, leaving: false });
        this.startTimer(this.options.random.getFloat());
    }

    close(): void {
        this.closed = true;
        this.timer?.close();
    }

    /** Announces the departure at once to one daemon of each failure domain and several of the local one. */
    sendLeaving(): void {
        const { daemonId, incarnation, selector, membership } = this.options;
        membership.setDaemonLeaving(daemonId, incarnation, "drain");
        this.notices.setOwn({ daemonId, incarnation, leaving: true });
        for (const peer of selector.selectAcrossDomains(8)) {
            void this.sendHeads(peer);
        }
    }

    /** Builds this daemon's message; requests and replies have the same form. */
    buildMessage(): HeadExchange {
        const { daemonId, incarnation, documents, store, election, health, clock } = this.options;
        return {
            healthReports: health.listReports(clock.getMonotonicMs()),
            daemonId,
            incarnation,
            heads: documents.map(document => document.getHead()),
            notices: this.notices.list(),
            platformAgeMs: election.getPlatformAgeMs(),
            rejected: store.getRejected(),
        };
    }

    /** Exchanges heads with a peer; true when it replied. Resolves after the fetches that follow. */
    async sendHeads(peer: Peer): Promise<boolean> {
        const { control, timeoutMs = 2_000, metrics, election } = this.options;
        const reply = await control.sendHeads(peer.address, this.buildMessage(), timeoutMs);
        if (reply.isErr()) {
            metrics.addCount("gossip.exchange_failed", { code: `${reply.error.code}` });
            return false;
        }
        election.recordPeerReply();
        await this.handleMessage(peer, reply.value, true);
        return true;
    }

    /** Applies a received message; resolves after the fetches that follow. */
    async handleMessage(peer: Peer, message: HeadExchange, isReply: boolean): Promise<void> {
        const { daemonId, membership, store, fetcher, election, health, clock } = this.options;
        if (message.daemonId === daemonId) {
            return;
        }
        health.merge(message.healthReports ?? [], clock.getMonotonicMs());
        const cause = `peer ${message.daemonId}`;
        membership.recordIncarnation(message.daemonId, message.incarnation, isReply);
        election.recordPlatformAge(message.platformAgeMs);
        for (const notice of message.notices) {
            if (notice.daemonId !== daemonId && this.notices.add(notice)) {
                this.handleNotice(notice, cause);
            }
        }
        if (message.rejected !== undefined) {
            store.recordRejected(message.rejected, cause);
        }
        const fetches: Promise<void>[] = [];
        for (const head of message.heads) {
            const document = this.options.documents.find(candidate => candidate.name === head.name);
            const order = document === undefined ? HeadOrder.Same : compareHeads(document.getHead(), head);
            if (order === HeadOrder.Newer) {
                fetches.push(fetcher.fetch(peer, head));
            }
            else if (order === HeadOrder.Conflict) {
                document?.reportConflict(head, cause);
            }
        }
        await Promise.all(fetches);
    }

    private handleNotice(notice: DaemonNotice, cause: string): void {
        const { membership } = this.options;
        if (notice.leaving) {
            membership.setDaemonLeaving(notice.daemonId, notice.incarnation, cause);
        }
        else {
            membership.setDaemonStarted(notice.daemonId, notice.incarnation);
        }
    }

    private runRound(): void {
        const { selector, peersPerRound = 1 } = this.options;
        for (const peer of selector.select(peersPerRound)) {
            void this.sendHeads(peer);
        }
        this.notices.countRound();
        this.startTimer(0.9 + this.options.random.getFloat() / 5);
    }

    private startTimer(rounds: number): void {
        if (!this.closed) {
            const delayMs = rounds * (this.options.roundMs ?? 1_000);
            this.timer = this.options.timers.start(delayMs, () => this.runRound());
        }
    }
}
