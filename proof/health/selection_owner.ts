import { Pipeline } from "../../src/core/pipeline.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { UpstreamState } from "../../src/core/upstream_state.ts";
import { DispatchFilter } from "../../src/dispatch/dispatch_filter.ts";
import { LocalForwarder } from "../../src/forward/local_forwarder.ts";
import { BayesianEvidenceRecorder } from "../../src/health/bayesian_evidence_recorder.ts";
import { CallFailureHistory } from "../../src/health/call_failure_history.ts";
import { DispatchMonitor } from "../../src/health/dispatch_monitor.ts";
import { SuspectedUpstreamFilter } from "../../src/health/suspected_upstream_filter.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { AttemptTable } from "../../src/operations/attempt_table.ts";
import { DeduplicationFilter } from "../../src/operations/deduplication_filter.ts";
import { OperationTable } from "../../src/operations/operation_table.ts";
import { OwnerRevoker } from "../../src/operations/owner_revoker.ts";
import { FixedSlotLimit } from "../../src/queue/fixed_slot_limit.ts";
import { NoShedPolicy } from "../../src/queue/no_shed_policy.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import { SettleFilter } from "../../src/settle/settle_filter.ts";
import { UpstreamStateBuilder } from "../../src/settle/upstream_state_builder.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";
import { IntermittentUpstream } from "./intermittent_upstream.ts";

interface Options {
    readonly id: string;
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly slots: number;
    readonly durationMs: number;
    readonly lateFailureShare: number;
}

/** Whether the owner suspected its upstream at one time. */
interface SuspicionSample {
    readonly atMs: number;
    readonly suspected: boolean;
}

/** The owner of one upstream, with its real filters. */
export class SelectionOwner {
    /** In chronological order. */
    readonly suspicionSamples: SuspicionSample[] = [];
    readonly upstream: IntermittentUpstream;
    readonly forwarder: LocalForwarder;
    private readonly states: UpstreamStateBuilder;

    constructor(private readonly options: Options) {
        const { id, slots, time } = options;
        const owned = { id, service: "payments", address: "", slots };
        const daemonState = { getState: () => DaemonState.Serving };
        this.upstream = new IntermittentUpstream(options);
        const faultEstimates = new BayesianEvidenceRecorder({
            clock: time,
            logger: { write: () => undefined },
            callFailures: new CallFailureHistory(),
        });
        const queue = new QueueFilter({
            clock: time,
            timers: time,
            daemonState,
            upstreams: { find: () => owned, list: () => [owned] },
            createSlotLimit: nominal => new FixedSlotLimit(nominal),
            createShedPolicy: () => new NoShedPolicy(),
        });
        this.states = new UpstreamStateBuilder({
            queues: queue,
            evidence: faultEstimates,
            daemonState,
            faults: faultEstimates,
        });
        const attempts = new AttemptTable();
        const operations = new OperationTable({ clock: time });
        const pauses = { measurePausedMs: () => 0 };
        const observer = new DispatchMonitor({ clock: time, timers: time, evidence: faultEstimates, pauses });
        const suspectedFilter = new SuspectedUpstreamFilter({ clock: time, faults: faultEstimates });
        const dispatch = new DispatchFilter({
            client: this.upstream,
            clock: time,
            daemonState,
            gate: attempts,
            pauses: { isResuming: () => false, wait: () => Promise.resolve() },
            observer,
            checks: [suspectedFilter],
        });
        const identity = { ownerId: id, incarnation: "1" };
        const inner = Pipeline.start(suspectedFilter).pipe(queue).pipe(dispatch)
            .pipe(new SettleFilter({ identity, observer, states: this.states }));
        const register = { identity, attempts, operations, states: this.states, daemonState, inner };
        this.forwarder = new LocalForwarder({
            owner: new DeduplicationFilter(register),
            revoker: new OwnerRevoker({ identity, attempts, operations }),
        });
    }

    /** Returns true when the upstream was suspected at some time in the interval. */
    isSuspected(fromMs: number, toMs: number): boolean {
        return this.suspicionSamples.some(({ atMs, suspected }) =>
            suspected && atMs >= fromMs && atMs < toMs
        );
    }

    buildState(): UpstreamState {
        return this.states.build(this.options.id)!;
    }
}
