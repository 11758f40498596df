/**
 * Wires the parts of a daemon. This is the only module that names implementations.
 *
 * @example
 * ```ts
 * const daemon = buildDaemon(settings, { writeAudit: line => process.stdout.write(line), writeLog });
 * const started = await daemon.start();
 * ```
 *
 * @module
 */
import { AdmitFilter } from "./admit/admit_filter.ts";
import { InFlightFilter } from "./admit/in_flight_filter.ts";
import { InFlightTable } from "./admit/in_flight_table.ts";
import { SaturationTable } from "./admit/saturation_table.ts";
import { AnswerFilter } from "./answer/answer_filter.ts";
import { CallerHandler } from "./answer/caller_handler.ts";
import { ConfigurationTextParser } from "./config/configuration_text_parser.ts";
import { Pipeline } from "./core/pipeline.ts";
import type { Daemon } from "./daemon.ts";
import { DispatchFilter } from "./dispatch/dispatch_filter.ts";
import { ImmediateLoopTurns } from "./dispatch/immediate_loop_turns.ts";
import { PauseDetector } from "./dispatch/pause_detector.ts";
import { ConnectPeerControl } from "./edge/control/connect_peer_control.ts";
import { ConnectRevoker } from "./edge/control/connect_revoker.ts";
import { JsonInstanceListCodec } from "./edge/control/json_instance_list_codec.ts";
import { LinePartListReader } from "./edge/control/line_part_list_reader.ts";
import { TransportCache } from "./edge/control/transport_cache.ts";
import { DaemonServers } from "./edge/daemon_servers.ts";
import { JsonAuditSink } from "./edge/log/json_audit_sink.ts";
import { JsonLogger } from "./edge/log/json_logger.ts";
import { UndiciForwarder } from "./edge/peer_http/undici_forwarder.ts";
import { GotPlatformReader } from "./edge/platform_http/got_platform_reader.ts";
import { StatsdMetrics } from "./edge/statsd/statsd_metrics.ts";
import { SystemClock } from "./edge/system/system_clock.ts";
import { SystemRandom } from "./edge/system/system_random.ts";
import { SystemTimers } from "./edge/system/system_timers.ts";
import { UndiciUpstreamClient } from "./edge/upstream_http/undici_upstream_client.ts";
import { AttemptExchanger } from "./forward/attempt_exchanger.ts";
import { AttemptFilter } from "./forward/attempt_filter.ts";
import { LocalForwarder } from "./forward/local_forwarder.ts";
import { OwnerForwarder } from "./forward/owner_forwarder.ts";
import { TokenRetryBudget } from "./forward/token_retry_budget.ts";
import { ConfigurationDocument } from "./gossip/configuration_document.ts";
import { DocumentFetcher } from "./gossip/document_fetcher.ts";
import { Gossip } from "./gossip/gossip.ts";
import { GossipHandler } from "./gossip/gossip_handler.ts";
import { InstanceListDocument } from "./gossip/instance_list_document.ts";
import { PeerSelector } from "./gossip/peer_selector.ts";
import { ReaderElection } from "./gossip/reader_election.ts";
import { ServiceSectionSplitter } from "./gossip/service_section_splitter.ts";
import { StartupQuery } from "./gossip/startup_query.ts";
import { DispatchWatch } from "./health/dispatch_watch.ts";
import { HealthReportFilter } from "./health/health_report_filter.ts";
import { PauseMeter } from "./health/pause_meter.ts";
import { ScoreBoard } from "./health/score_board.ts";
import { SequentialEvidenceRecorder } from "./health/sequential_evidence_recorder.ts";
import type { DrainableListener } from "./lifecycle/drainable_listener.ts";
import { Lifecycle } from "./lifecycle/lifecycle.ts";
import { MembershipTable } from "./membership/membership_table.ts";
import { MergeInstancesFilter } from "./membership/merge_instances_filter.ts";
import { OwnerUpstreamIndex } from "./membership/owner_upstream_index.ts";
import { NoMetrics } from "./metrics/no_metrics.ts";
import { AttemptTable } from "./operations/attempt_table.ts";
import { KeyIssuer } from "./operations/key_issuer.ts";
import { KeyRequestFilter } from "./operations/key_request_filter.ts";
import { KeyedOutcomeFilter } from "./operations/keyed_outcome_filter.ts";
import { KeyedSelector } from "./operations/keyed_selector.ts";
import { KnownOwnerTable } from "./operations/known_owner_table.ts";
import { OperationTable } from "./operations/operation_table.ts";
import type { OwnerIdentity } from "./operations/owner_identity.ts";
import { OwnerRevoker } from "./operations/owner_revoker.ts";
import { RegisterFilter } from "./operations/register_filter.ts";
import { AcceptFilter } from "./platform/accept_filter.ts";
import { ConfigStore } from "./platform/config_store.ts";
import { DigestInstancesFilter } from "./platform/digest_instances_filter.ts";
import { JoinPartsFilter } from "./platform/join_parts_filter.ts";
import { OrderFilter } from "./platform/order_filter.ts";
import { ParseFilter } from "./platform/parse_filter.ts";
import { PlatformWatcher } from "./platform/platform_watcher.ts";
import { ValidateInstancesFilter } from "./platform/validate_instances_filter.ts";
import { QueueFilter } from "./queue/queue_filter.ts";
import { QueueReleaser } from "./queue/queue_releaser.ts";
import { ResolveFilter } from "./queue/resolve_filter.ts";
import { ServiceTimes } from "./queue/service_times.ts";
import { ReceiveFilter } from "./receive/receive_filter.ts";
import { RouteFilter } from "./route/route_filter.ts";
import { RunningDaemon } from "./running_daemon.ts";
import { PowerOfTwoSelector } from "./select/power_of_two_selector.ts";
import { RotationPreference } from "./select/rotation_preference.ts";
import type { ServeSettings } from "./settings/serve_settings.ts";
import { SettleFilter } from "./settle/settle_filter.ts";
import { UpstreamStateBuilder } from "./settle/upstream_state_builder.ts";
import { StatusBuilder } from "./status/status_builder.ts";

interface BuildOptions {
    readonly writeAudit: (line: string) => void;
    readonly writeLog: (line: string) => void;
}

/** Where the daemon runs. */
type Place = Pick<ServeSettings, "failureDomain" | "region">;
type Base = ReturnType<typeof buildBase>;
type Control = ReturnType<typeof buildControl>;
type Owner = ReturnType<typeof buildOwner>;

/** Builds a daemon that has opened nothing yet. */
export function buildDaemon(settings: ServeSettings, options: BuildOptions): Daemon {
    const base = buildBase(settings, options);
    const control = buildControl(settings, base);
    const owner = buildOwner(settings, base, control);
    const entry = buildEntry(settings, base, control, owner);
    const status = new StatusBuilder({ ...settings, ...base, ...control, ...owner, health: entry.selector });
    const servers: DaemonServers = new DaemonServers({
        settings,
        identity: base.identity,
        lifecycle: owner.lifecycle,
        caller: entry.handler,
        owner: owner.incoming,
        revoker: owner.revoker,
        gossip: control.gossipHandler,
        buildStatus: () => status.build(),
        drain: cause => daemon.drain(cause),
    });
    owner.setListeners(() => servers.getDrainable());
    const closers = [
        entry.remote,
        ...owner.closers,
        control.transports,
        control.platform,
        ...base.statsd ? [base.statsd] : [],
    ];
    const daemon = new RunningDaemon({ ...base, ...control, ...owner, servers, closers });
    return daemon;
}

/** What every other part needs. */
function buildBase(settings: ServeSettings, options: BuildOptions) {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const { daemonId, logLevel, metricsAddress } = settings;
    const incarnation = Math.floor(random.take() * 2 ** 32).toString(16) + Date.now().toString(16);
    const identity: OwnerIdentity = { ownerId: daemonId, incarnation };
    const logger = new JsonLogger({ clock, daemonId, level: logLevel, writeLine: options.writeLog });
    const audit = new JsonAuditSink({ clock, daemonId, writeLine: options.writeAudit });
    const statsd = metricsAddress === undefined
        ? undefined
        : new StatsdMetrics({ address: metricsAddress, daemonId });
    const metrics = statsd ?? new NoMetrics();
    const board = new ScoreBoard();
    return { clock, timers: new SystemTimers(), random, identity, logger, audit, statsd, metrics, board };
}

/** Control pipelines: configuration, instance list and gossip. */
function buildControl(settings: ServeSettings, base: Base) {
    const { daemonId, failureDomain } = settings;
    const { incarnation } = base.identity;
    const platform = new GotPlatformReader({ url: settings.platformUrl });
    const store = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const codec = new JsonInstanceListCodec();
    const accept = Pipeline.start(new OrderFilter(store))
        .pipe(new ParseFilter(store, new ConfigurationTextParser()))
        .pipe(new AcceptFilter(store));
    const configuration = Pipeline.start(new JoinPartsFilter(platform, new LinePartListReader())).pipe(
        accept,
    );
    const merge = Pipeline.start(new ValidateInstancesFilter()).pipe(new MergeInstancesFilter(membership));
    const instances = Pipeline.start(new DigestInstancesFilter(codec)).pipe(merge);
    const documents = [
        new ConfigurationDocument({ store, pipeline: accept, splitter: new ServiceSectionSplitter() }),
        new InstanceListDocument({ ...base, membership, pipeline: merge, codec }),
    ];
    const transports = new TransportCache();
    const control = new ConnectPeerControl(transports);
    const election = new ReaderElection({ daemonId, failureDomain, membership, clock: base.clock });
    const selector = new PeerSelector({
        daemonId,
        failureDomain,
        membership,
        random: base.random,
        seeds: settings.peers,
    });
    const gossip = new Gossip({
        ...base,
        daemonId,
        incarnation,
        health: base.board,
        control,
        documents,
        fetcher: new DocumentFetcher({ ...base, control, documents }),
        membership,
        store,
        selector,
        election,
        roundMs: settings.gossipIntervalMs,
    });
    const sources = { ...base, platform, configuration, instances };
    const watcher = new PlatformWatcher({ ...sources, role: election, watchMs: settings.watchMs });
    const startup = new StartupQuery({ ...sources, gossip, selector, store, limitMs: settings.startWaitMs });
    const gossipHandler = new GossipHandler({ gossip, documents, membership });
    return { platform, store, membership, gossip, gossipHandler, watcher, startup, transports };
}

/** The owner's side: queue, dispatch, settle and the register around them. */
function buildOwner(settings: ServeSettings, base: Base, control: Control) {
    const { clock, identity } = base;
    const { upstreams } = settings;
    let getListeners = (): readonly DrainableListener[] => [];
    const lifecycle: Lifecycle = new Lifecycle({
        ...base,
        queue: { releaseQueued: () => new QueueReleaser(queue, upstreams).releaseQueued() },
        announcer: control.gossip,
        getListeners: () => getListeners(),
        graceMs: settings.drainGraceMs,
        limitMs: settings.drainTimeoutMs,
        quietMs: settings.drainQuietMs,
    });
    const queue = new QueueFilter({ ...base, upstreams, daemonState: lifecycle });
    const evidence = new SequentialEvidenceRecorder({ config: control.store, board: base.board });
    const states = new UpstreamStateBuilder({ queues: queue, evidence, daemonState: lifecycle });
    const attempts = new AttemptTable();
    const operations = new OperationTable({ clock });
    const pauses = new PauseDetector({ ...base, turns: new ImmediateLoopTurns() });
    const client = new UndiciUpstreamClient(upstreams);
    const meter = new PauseMeter(base);
    const watch = new DispatchWatch({ ...base, evidence, pauses: meter });
    const checks = { daemonState: lifecycle, gate: attempts, pauses };
    const dispatch = new DispatchFilter({ ...checks, client, clock, watch });
    const inner = Pipeline.start(queue).pipe(dispatch).pipe(new SettleFilter({ identity, watch, states }));
    const register = new RegisterFilter({
        identity,
        attempts,
        operations,
        states,
        daemonState: lifecycle,
        inner,
    });
    const incoming = Pipeline.start(new ResolveFilter({ clock, config: control.store }))
        .pipe(register)
        .pipe(new HealthReportFilter(base));
    const revoker = new OwnerRevoker({ identity, attempts, operations });
    const setListeners = (get: () => readonly DrainableListener[]) => {
        getListeners = get;
    };
    const closers = [client, meter, watch];
    return { closers, lifecycle, setListeners, states, pauses, register, incoming, revoker };
}

/** The entry's side: from a caller's request to its answer. */
function buildEntry(place: Place, base: Base, control: Control, owner: Owner) {
    const { clock, identity, metrics, random } = base;
    const { membership, store } = control;
    const connectRevoker = new ConnectRevoker(control.transports);
    const remote = new UndiciForwarder({
        clock,
        sendRevoke: (address, target) => connectRevoker.revoke(address, target),
    });
    const local = new LocalForwarder({ owner: owner.register, revoker: owner.revoker });
    const forwarder = new OwnerForwarder({ daemonId: identity.ownerId, local, remote });
    const selector = new PowerOfTwoSelector({
        ...base,
        ...place,
        membership,
        leaving: membership,
    });
    const preference = new RotationPreference({ config: store, selector });
    const owners = new KnownOwnerTable({ ...base, membership, incarnations: membership, preference });
    const inFlight = new InFlightTable();
    const saturation = new SaturationTable(clock, membership);
    const serviceTimes = new ServiceTimes();
    const attempt = new AttemptFilter({
        selector,
        keyedSelector: new KeyedSelector({
            upstreams: new OwnerUpstreamIndex(() => membership.getList().list),
            owners,
            preference,
            baselines: selector,
        }),
        owners,
        exchanger: new AttemptExchanger({ ...base, forwarder }),
        budget: new TokenRetryBudget(clock),
        leaving: membership,
        clock,
    });
    const forward = Pipeline.start(new RouteFilter(store, clock))
        .pipe(new AdmitFilter({ clock, config: store, inFlight, saturation, serviceTimes }))
        .pipe(new InFlightFilter({ clock, inFlight, saturation, serviceTimes, inner: attempt }));
    const serve = Pipeline.start(new KeyedOutcomeFilter(forward)).pipe(new AnswerFilter());
    const handler = new CallerHandler({
        ...base,
        receive: new ReceiveFilter({ clock, random }),
        serve: new KeyRequestFilter({
            issuer: new KeyIssuer({ owners, clock, random }),
            inner: serve,
        }),
        metrics,
    });
    return { handler, remote, selector };
}
