import { RecordRunFilter } from "../authenticate/record_run_filter.ts";
import { RunTable } from "../authenticate/run_table.ts";
import { AnnounceFilter } from "../beacon/announce_filter.ts";
import { NeighbourFilter } from "../beacon/neighbour_filter.ts";
import { Pipeline } from "../core/pipeline.ts";
import type { DaemonAdapters } from "../daemon_adapters.ts";
import { DispatchFilter } from "../dispatch/dispatch_filter.ts";
import { HeaderUpstreamCodec } from "../dispatch/header_upstream_codec.ts";
import { ImmediateEventLoopTurns } from "../dispatch/immediate_event_loop_turns.ts";
import { PauseDetector } from "../dispatch/pause_detector.ts";
import { NodeProcessUsage } from "../edge/system/node_process_usage.ts";
import { UndiciUpstreamClient } from "../edge/upstream_http/undici_upstream_client.ts";
import { BayesianEvidenceRecorder } from "../health/bayesian_evidence_recorder.ts";
import { CallFailureHistory } from "../health/call_failure_history.ts";
import { DispatchMonitor } from "../health/dispatch_monitor.ts";
import { HealthReportFilter } from "../health/health_report_filter.ts";
import { PauseMeter } from "../health/pause_meter.ts";
import { SequentialEvidenceRecorder } from "../health/sequential_evidence_recorder.ts";
import { SuspectedUpstreamFilter } from "../health/suspected_upstream_filter.ts";
import type { DrainableListener } from "../lifecycle/drainable_listener.ts";
import { Lifecycle } from "../lifecycle/lifecycle.ts";
import { InstanceListUpstreams } from "../membership/instance_list_upstreams.ts";
import { LeavingCheck } from "../membership/leaving_check.ts";
import { EventLoopMonitor } from "../metrics/event_loop_monitor.ts";
import { AttemptTable } from "../operations/attempt_table.ts";
import { DeduplicationFilter } from "../operations/deduplication_filter.ts";
import { OperationTable } from "../operations/operation_table.ts";
import { OwnerRevoker } from "../operations/owner_revoker.ts";
import { RepeatedRunFilter } from "../operations/repeated_run_filter.ts";
import { RepeatedRunTable } from "../operations/repeated_run_table.ts";
import { ConfiguredUpstreams } from "../queue/configured_upstreams.ts";
import { FixedSlotLimit } from "../queue/fixed_slot_limit.ts";
import { NoShedPolicy } from "../queue/no_shed_policy.ts";
import { QueueFilter } from "../queue/queue_filter.ts";
import { QueueReleaser } from "../queue/queue_releaser.ts";
import { ResolveRouteFilter } from "../queue/resolve_route_filter.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import { OwnerLogFilter } from "../settle/owner_log_filter.ts";
import { SettleFilter } from "../settle/settle_filter.ts";
import { UpstreamStateBuilder } from "../settle/upstream_state_builder.ts";
import type { BaseParts } from "./base_parts.ts";
import type { ControlParts } from "./control_parts.ts";

/**
 * Policies for the platform. An upstream there queues the requests that exceed its slots, so the requests
 * that it sheds say nothing about the number of slots. Routes there have latency targets, and the queue
 * admits only requests that it can answer in time, so it needs no further shedding.
 */
const platformPolicies = {
    createSlotLimit: (nominal: number) => new FixedSlotLimit(nominal),
    createShedPolicy: () => new NoShedPolicy(),
};

/** Builds the owner side of a daemon: queue, dispatch and settle, wrapped in deduplication. */
export function buildOwner(
    settings: ServeSettings,
    base: BaseParts,
    control: ControlParts,
    adapters?: DaemonAdapters,
) {
    const { clock, identity } = base;
    const upstreams = adapters === undefined
        ? new ConfiguredUpstreams(settings.upstreams)
        : new InstanceListUpstreams({
            membership: control.membership,
            address: adapters.upstreamAddress,
            getService: () => adapters.getService(),
        });
    let getListeners = (): readonly DrainableListener[] => [];
    const lifecycle: Lifecycle = new Lifecycle({
        ...base,
        queue: { releaseQueued: () => new QueueReleaser(queue, upstreams).releaseQueued() },
        announcer: control.announcer,
        getListeners: () => getListeners(),
        graceMs: settings.drainGraceMs,
        limitMs: settings.drainTimeoutMs,
        answerDeadlineMs: settings.drainAnswerMs,
        quietMs: settings.drainQuietMs,
    });
    const queue = new QueueFilter({
        ...base,
        upstreams,
        daemonState: lifecycle,
        ...(adapters === undefined ? {} : platformPolicies),
    });
    const callFailures = new CallFailureHistory();
    const faultEstimates = adapters === undefined
        ? undefined
        : new BayesianEvidenceRecorder({ ...base, callFailures });
    const evidence = faultEstimates ??
        new SequentialEvidenceRecorder({ config: control.store, scoreTable: base.scoreTable });
    const states = new UpstreamStateBuilder({
        queues: queue,
        evidence,
        daemonState: lifecycle,
        faults: faultEstimates,
    });
    const attempts = new AttemptTable();
    const operations = new OperationTable({ clock });
    const pauses = new PauseDetector({ ...base, turns: new ImmediateEventLoopTurns() });
    const client = new UndiciUpstreamClient({
        upstreams,
        codec: adapters?.upstreamCodec ?? new HeaderUpstreamCodec(),
        answerMemoryBytes: settings.answerMemoryBytes,
        memory: base.memory,
    });
    const pauseMeter = new PauseMeter(base);
    const observer = new DispatchMonitor({ ...base, evidence, pauses: pauseMeter });
    const suspectedFilter = faultEstimates && new SuspectedUpstreamFilter({ clock, faults: faultEstimates });
    const dispatch = new DispatchFilter({
        daemonState: lifecycle,
        gate: attempts,
        pauses,
        client,
        clock,
        observer,
        checks: [new LeavingCheck(control.membership), ...suspectedFilter ? [suspectedFilter] : []],
    });
    const queuePipeline = suspectedFilter === undefined ? queue : Pipeline.start(suspectedFilter).pipe(queue);
    const runs = new RunTable();
    const inner = Pipeline.start(queuePipeline).pipe(new RecordRunFilter({ runs, inner: dispatch })).pipe(
        new SettleFilter({ identity, observer, states }),
    );
    const repeatedRuns = new RepeatedRunTable();
    const deduplicationFilter = new DeduplicationFilter({
        identity,
        attempts,
        operations,
        states,
        daemonState: lifecycle,
        inner: new RepeatedRunFilter({ runs: repeatedRuns, inner }),
    });
    const { beacons } = control;
    const logFilter = new OwnerLogFilter({ ...base, inner: deduplicationFilter });
    const localPipeline = beacons === undefined
        ? logFilter
        : new AnnounceFilter({ recordChange: () => beacons.exchange.recordChange(), inner: logFilter });
    if (beacons !== undefined) {
        beacons.bindings.listStates = () => upstreams.list().flatMap(({ id }) => states.build(id) ?? []);
    }
    const neighbourFilter = beacons === undefined ? localPipeline : new NeighbourFilter({
        inner: localPipeline,
        listNeighbours: (service, upstreamId) => beacons.bindings.listNeighbours(service, upstreamId),
    });
    const remotePipeline = Pipeline.start(new ResolveRouteFilter({ clock, config: control.store }))
        .pipe(neighbourFilter)
        .pipe(new HealthReportFilter(base));
    const revoker = new OwnerRevoker({ identity, attempts, operations });
    const setListeners = (get: () => readonly DrainableListener[]) => {
        getListeners = get;
    };
    const eventLoopMonitor = new EventLoopMonitor({
        ...base,
        delays: pauseMeter,
        usage: new NodeProcessUsage(),
        countInFlight: () => lifecycle.countInFlight(),
    });
    const closers = [client, pauseMeter, observer, eventLoopMonitor];
    return {
        upstreams,
        callFailures,
        repeatedRuns,
        runs,
        closers,
        eventLoopMonitor,
        lifecycle,
        setListeners,
        states,
        pauses,
        localPipeline,
        remotePipeline,
        revoker,
    };
}
