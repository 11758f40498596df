import type { AuditEntry } from "../../../src/audit/audit_entry.ts";
import type { AuditSink } from "../../../src/audit/audit_sink.ts";
import type { Logger } from "../../../src/core/logger.ts";
import type { Metrics } from "../../../src/core/metrics.ts";
import { Pipeline } from "../../../src/core/pipeline.ts";
import type { Upstream } from "../../../src/core/upstream.ts";
import { JsonInstanceListCodec } from "../../../src/edge/control/json_instance_list_codec.ts";
import { LinePartListReader } from "../../../src/edge/control/line_part_list_reader.ts";
import { ConfigurationDocument } from "../../../src/gossip/configuration_document.ts";
import { DocumentFetcher } from "../../../src/gossip/document_fetcher.ts";
import { Gossip } from "../../../src/gossip/gossip.ts";
import { GossipHandler } from "../../../src/gossip/gossip_handler.ts";
import { InstanceListDocument } from "../../../src/gossip/instance_list_document.ts";
import type { PeerControlClient } from "../../../src/gossip/peer_control_client.ts";
import { PeerSelector } from "../../../src/gossip/peer_selector.ts";
import { ReaderElection } from "../../../src/gossip/reader_election.ts";
import { ServiceSectionSplitter } from "../../../src/gossip/service_section_splitter.ts";
import { StartupQuery } from "../../../src/gossip/startup_query.ts";
import { HealthScoreTable } from "../../../src/health/health_score_table.ts";
import { MembershipTable } from "../../../src/membership/membership_table.ts";
import { MergeInstancesFilter } from "../../../src/membership/merge_instances_filter.ts";
import { ActivateConfigFilter } from "../../../src/published/activate_config_filter.ts";
import { CheckConfigVersionFilter } from "../../../src/published/check_config_version_filter.ts";
import { ConfigStore } from "../../../src/published/config_store.ts";
import { DigestInstancesFilter } from "../../../src/published/digest_instances_filter.ts";
import { JoinConfigPartsFilter } from "../../../src/published/join_config_parts_filter.ts";
import { ParseConfigFilter } from "../../../src/published/parse_config_filter.ts";
import { PlatformWatcher } from "../../../src/published/platform_watcher.ts";
import { ValidateInstancesFilter } from "../../../src/published/validate_instances_filter.ts";
import { EventKind } from "../../event_kind.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";
import type { HistoryEvent } from "../../history_event.ts";
import type { HistoryRecorder } from "../../history_recorder.ts";
import type { FakeNetwork } from "./fake_network.ts";
import { FakeParser } from "./fake_parser.ts";
import type { FakePlatform } from "./fake_platform.ts";
import { PausableTimers } from "./pausable_timers.ts";
import { RecordingSinks } from "./recording_sinks.ts";

interface StoreSinks {
    readonly audit: AuditSink;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface Options {
    readonly upstream: Upstream;
    readonly incarnation: string;
    readonly seed: number;
    readonly time: VirtualTime;
    readonly network: FakeNetwork;
    readonly platform: FakePlatform;
    readonly history: HistoryRecorder;
    readonly seeds?: readonly string[];
    /** Replacements by which a mutation breaks the daemon. */
    readonly createStore?: (sinks: StoreSinks) => ConfigStore;
    readonly createControl?: (control: PeerControlClient) => PeerControlClient;
    readonly peersPerRound?: number;
    readonly backoffMinMs?: number;
    readonly startupPeers?: number;
}

/** The control pipelines of one daemon: the real classes over a fake platform and network. */
export class FakeDaemon {
    readonly id: string;
    readonly sinks = new RecordingSinks();
    readonly timers: PausableTimers;
    readonly membership: MembershipTable;
    readonly store: ConfigStore;
    readonly gossip: Gossip;
    readonly election: ReaderElection;
    private readonly watcher: PlatformWatcher;
    private readonly query: StartupQuery;

    constructor(private readonly options: Options) {
        const { upstream, time, network, platform } = options;
        this.id = upstream.ownerId;
        const random = new SeededRandom(options.seed);
        const audit = { record: (entry: AuditEntry) => this.recordAudit(entry) };
        const sinks = { audit, logger: this.sinks, metrics: this.sinks };
        const timers = this.timers = new PausableTimers(time);
        this.membership = new MembershipTable({ ...sinks, clock: time });
        this.store = options.createStore?.(sinks) ?? new ConfigStore(sinks);
        const identity = { daemonId: this.id, failureDomain: upstream.failureDomain };
        const shared = { ...identity, ...sinks, clock: time, timers, random, membership: this.membership };
        const codec = new JsonInstanceListCodec();
        const configPipeline = Pipeline.start(new CheckConfigVersionFilter(this.store))
            .pipe(new ParseConfigFilter(this.store, new FakeParser()))
            .pipe(new ActivateConfigFilter(this.store));
        const listPipeline = Pipeline.start(new ValidateInstancesFilter())
            .pipe(new MergeInstancesFilter(this.membership));
        const documents = [
            new ConfigurationDocument({
                store: this.store,
                pipeline: configPipeline,
                splitter: new ServiceSectionSplitter(),
            }),
            new InstanceListDocument({ ...shared, pipeline: listPipeline, codec }),
        ];
        const link = network.createControl(upstream.ownerAddress, timers);
        const control = options.createControl?.(link) ?? link;
        const fetcher = new DocumentFetcher({ ...shared, control, documents });
        const selector = new PeerSelector({ ...shared, seeds: options.seeds ?? [] });
        this.election = new ReaderElection(shared);
        const { store, election } = this;
        const { incarnation, peersPerRound, backoffMinMs } = options;
        this.gossip = new Gossip({
            health: new HealthScoreTable(),
            ...shared,
            incarnation,
            control,
            documents,
            fetcher,
            store,
            selector,
            election,
            ...(peersPerRound === undefined ? {} : { peersPerRound }),
        });
        const reader = platform.createReader(this.id, timers);
        const reading = {
            ...shared,
            platform: reader,
            configuration: Pipeline.start(new JoinConfigPartsFilter(reader, new LinePartListReader()))
                .pipe(configPipeline),
            instances: Pipeline.start(new DigestInstancesFilter(codec)).pipe(listPipeline),
            role: this.election,
        };
        this.watcher = new PlatformWatcher({
            ...reading,
            ...(backoffMinMs === undefined ? {} : { backoffMinMs, backoffMaxMs: backoffMinMs }),
        });
        const { startupPeers: peers = 3 } = options;
        this.query = new StartupQuery({ ...reading, gossip: this.gossip, selector, store, peers });
        network.setEndpoint(upstream.ownerAddress, {
            timers,
            handler: new GossipHandler({ gossip: this.gossip, documents, membership: this.membership }),
        });
    }

    /**
     * Starts gossip and platform watches, and records that it serves when the startup query has succeeded.
     */
    async start(): Promise<void> {
        this.recordEvent(EventKind.DaemonStarted, {});
        this.gossip.start();
        this.watcher.start();
        while ((await this.query.run()).isErr()) {
            await new Promise<void>(resolve => void this.timers.start(1_000, resolve));
        }
        this.recordEvent(EventKind.DaemonServing, { version: this.store.getActive()?.version ?? 0 });
    }

    /** Stops the process without a drain. */
    close(): void {
        this.gossip.close();
        this.watcher.close();
        this.timers.close();
    }

    private recordAudit(entry: AuditEntry): void {
        if (entry.change === "config") {
            const [version, content = ""] = entry.after.split(" ");
            this.recordEvent(EventKind.ConfigActivated, { version: Number(version), content });
        }
    }

    private recordEvent(kind: EventKind, fields: Partial<HistoryEvent>): void {
        const { time, history } = this.options;
        history.record({ kind, atMs: time.getMonotonicMs(), actor: this.id, ...fields });
    }
}
