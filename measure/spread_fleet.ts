/**
 * Simulates the gossip of many daemons in memory, with virtual time and computed message sizes.
 *
 * @example
 * ```ts
 * const fleet = new SpreadFleet({ seed: 1, daemons: 1_800, domains: 31, regions: 8, peersPerRound: 1, localShare: 0.75,
 *     lostShare: 0 });
 * const spread = await fleet.measureSpread();
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { RecordingSinks } from "../proof/control/fakes/recording_sinks.ts";
import { SeededRandom } from "../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../proof/fakes/virtual_time.ts";
import { Code } from "../src/core/code.ts";
import { createFailure } from "../src/core/create_failure.ts";
import type { Failure } from "../src/core/failure.ts";
import { DocumentFetcher } from "../src/gossip/document_fetcher.ts";
import { DocumentName } from "../src/gossip/document_name.ts";
import { Gossip } from "../src/gossip/gossip.ts";
import { GossipHandler } from "../src/gossip/gossip_handler.ts";
import type { HeadExchange } from "../src/gossip/head_exchange.ts";
import type { PeerControlClient } from "../src/gossip/peer_control_client.ts";
import { PeerSelector } from "../src/gossip/peer_selector.ts";
import { ReaderElection } from "../src/gossip/reader_election.ts";
import type { SectionRequest } from "../src/gossip/section_request.ts";
import type { SectionResponse } from "../src/gossip/section_response.ts";
import { HealthScoreTable } from "../src/health/health_score_table.ts";
import type { DaemonInfo } from "../src/membership/daemon_info.ts";
import { ConfigStore } from "../src/published/config_store.ts";
import { computeMessageBytes } from "./compute_message_bytes.ts";
import { FleetTable } from "./fleet_table.ts";
import { VersionDocument } from "./version_document.ts";

interface Options {
    readonly seed: number;
    readonly daemons: number;
    readonly domains: number;
    readonly regions: number;
    readonly peersPerRound: number;
    readonly localShare: number;
    /** Share of the links that drop all messages in one direction. */
    readonly lostShare: number;
}

interface Member {
    readonly daemon: DaemonInfo;
    readonly document: VersionDocument;
    readonly gossip: Gossip;
    readonly election: ReaderElection;
    readonly handler: GossipHandler;
}

/** Headers of a Connect RPC over HTTP/1.1 and of four TCP/IP packets, in bytes. */
const callBytes = 330 + 180 + 4 * 52;
/** Opening and closing a connection, in bytes; counted for each call to another failure domain. */
const connectionBytes = 7 * 52;
/** One service with five routes, in bytes of YAML. */
const sectionBytes = 1_200;

/** A simulated fleet; an instance measures one change. */
export class SpreadFleet {
    private readonly time = new VirtualTime();
    private readonly members = new Map<string, Member>();
    private reachedCount = 0;
    private lastReachedMs = 0;
    private bytes = 0;

    constructor(private readonly options: Options) {
        const daemons = new Map<string, DaemonInfo>();
        for (let index = 0; index < options.daemons; index++) {
            const domain = index % options.domains;
            daemons.set(`daemon-${index}`, {
                id: `daemon-${index}`,
                address: `daemon-${index}`,
                failureDomain: `domain-${domain}`,
                region: `region-${domain % options.regions}`,
                leaving: false,
            });
        }
        for (const daemon of daemons.values()) {
            this.members.set(daemon.id, this.createMember(daemon, daemons));
        }
    }

    /** Bytes sent and received by each daemon in a second without changes. */
    async measureIdleBytes(): Promise<number> {
        await this.start();
        // By then the daemons no longer forward the notices that they sent at the start.
        await this.time.run(17_000);
        this.bytes = 0;
        await this.time.run(5_000);
        this.close();
        return 2 * this.bytes / this.options.daemons / 5;
    }

    /** Time until a version that the elected readers accept is active on every daemon. */
    async measureSpread(): Promise<{ readonly spreadMs: number; readonly reached: number; }> {
        await this.start();
        const startMs = this.time.getMonotonicMs();
        for (const { document, election } of this.members.values()) {
            if (election.isReader()) {
                await document.update({ ...document.getHead(), version: 2 });
            }
        }
        return this.waitForAll(startMs);
    }

    /** Time until every daemon knows that one daemon is leaving. */
    async measureNotice(): Promise<{ readonly spreadMs: number; readonly reached: number; }> {
        await this.start();
        const startMs = this.time.getMonotonicMs();
        this.members.get("daemon-0")!.gossip.sendLeaving();
        return this.waitForAll(startMs);
    }

    private async start(): Promise<void> {
        for (const { gossip } of this.members.values()) {
            gossip.start();
        }
        await this.time.run(3_000);
    }

    private async waitForAll(startMs: number): Promise<{ spreadMs: number; reached: number; }> {
        for (let second = 0; second < 30 && this.reachedCount < this.options.daemons; second++) {
            await this.time.run(1_000);
        }
        this.close();
        return { spreadMs: this.lastReachedMs - startMs, reached: this.reachedCount };
    }

    private close(): void {
        for (const { gossip } of this.members.values()) {
            gossip.close();
        }
    }

    private createMember(daemon: DaemonInfo, daemons: ReadonlyMap<string, DaemonInfo>): Member {
        const { peersPerRound, localShare, seed } = this.options;
        const sinks = new RecordingSinks();
        const recordReached = () => {
            this.reachedCount += 1;
            this.lastReachedMs = this.time.getMonotonicMs();
        };
        const document = new VersionDocument(DocumentName.Configuration, recordReached);
        const shared = {
            daemonId: daemon.id,
            failureDomain: daemon.failureDomain,
            membership: new FleetTable(daemons, recordReached),
            clock: this.time,
            timers: this.time,
            random: new SeededRandom(seed * 10_000 + this.members.size),
            logger: sinks,
            metrics: sinks,
            audit: sinks,
            documents: [document, new VersionDocument(DocumentName.Instances, () => {})],
            control: this.createControl(daemon),
        };
        const election = new ReaderElection(shared);
        const gossip = new Gossip({
            health: new HealthScoreTable(),
            ...shared,
            incarnation: `incarnation-${daemon.id}`,
            fetcher: new DocumentFetcher(shared),
            store: new ConfigStore(shared),
            selector: new PeerSelector({ ...shared, seeds: [], localShare }),
            election,
            peersPerRound,
        });
        return { daemon, document, gossip, election, handler: new GossipHandler({ ...shared, gossip }) };
    }

    private createControl(from: DaemonInfo): PeerControlClient {
        return {
            sendHeads: (to, message, timeoutMs) =>
                this.send(from, to, message, timeoutMs, handler => handler.handleExchangeHeads(message)),
            fetchSections: (to, request, timeoutMs) =>
                this.send(from, to, request, timeoutMs, handler => handler.handleFetchSections(request)!),
        };
    }

    private send<Reply extends HeadExchange | SectionResponse>(
        from: DaemonInfo,
        to: string,
        message: HeadExchange | SectionRequest,
        timeoutMs: number,
        handle: (handler: GossipHandler) => Reply,
    ): Promise<Result<Reply, Failure>> {
        const { daemon, handler } = this.members.get(to)!;
        const isLocal = daemon.failureDomain === from.failureDomain;
        const latencyMs = isLocal ? 0.5 : daemon.region === from.region ? 1.5 : 40;
        this.bytes += computeMessageBytes(message, sectionBytes) + callBytes +
            (isLocal ? 0 : connectionBytes);
        return new Promise(resolve => {
            const timer = this.time.start(timeoutMs, () => resolve(err(createFailure(Code.PeerTimeout))));
            if (this.isLost(from.id, to)) {
                return;
            }
            this.time.start(latencyMs, () => {
                const reply = handle(handler);
                this.bytes += computeMessageBytes(reply, sectionBytes);
                if (!this.isLost(to, from.id)) {
                    this.time.start(latencyMs, () => {
                        timer.close();
                        resolve(ok(reply));
                    });
                }
            });
        });
    }

    private isLost(from: string, to: string): boolean {
        const { lostShare } = this.options;
        return lostShare > 0 &&
            new SeededRandom(Number(from.slice(7)) * 4_096 + Number(to.slice(7))).getFloat() < lostShare;
    }
}
