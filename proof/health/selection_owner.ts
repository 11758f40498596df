import { Pipeline } from "../../src/core/pipeline.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { UpstreamState } from "../../src/core/upstream_state.ts";
import { DispatchFilter } from "../../src/dispatch/dispatch_filter.ts";
import { LocalForwarder } from "../../src/forward/local_forwarder.ts";
import { BeliefRecorder } from "../../src/health/belief_recorder.ts";
import { DispatchWatch } from "../../src/health/dispatch_watch.ts";
import { SuspectFilter } from "../../src/health/suspect_filter.ts";
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
import { NoisyUpstream } from "./noisy_upstream.ts";

interface Options {
    readonly id: string;
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly slots: number;
    readonly durationMs: number;
    readonly lateFailShare: number;
}

/** What the owner believed at one time. */
interface Suspicion {
    readonly atMs: number;
    readonly suspected: boolean;
}

/** The owner of one upstream, with its real filters. */
export class SelectionOwner {
    /** In order of time. */
    readonly suspicions: Suspicion[] = [];
    readonly upstream: NoisyUpstream;
    readonly forwarder: LocalForwarder;
    private readonly states: UpstreamStateBuilder;

    constructor(private readonly options: Options) {
        const { id, slots, time } = options;
        const owned = { id, service: "payments", address: "", slots };
        const daemonState = { getState: () => DaemonState.Serving };
        this.upstream = new NoisyUpstream(options);
        const beliefs = new BeliefRecorder({ clock: time, logger: { write: () => undefined } });
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
            evidence: beliefs,
            daemonState,
            faults: beliefs,
        });
        const attempts = new AttemptTable();
        const operations = new OperationTable({ clock: time });
        const pauses = { measurePausedMs: () => 0 };
        const observer = new DispatchWatch({ clock: time, timers: time, evidence: beliefs, pauses });
        const suspects = new SuspectFilter({ clock: time, faults: beliefs });
        const dispatch = new DispatchFilter({
            client: this.upstream,
            clock: time,
            daemonState,
            gate: attempts,
            pauses: { isResuming: () => false, wait: () => Promise.resolve() },
            observer,
            checks: [suspects],
        });
        const identity = { ownerId: id, incarnation: "1" };
        const inner = Pipeline.start(suspects).pipe(queue).pipe(dispatch)
            .pipe(new SettleFilter({ identity, observer, states: this.states }));
        const register = { identity, attempts, operations, states: this.states, daemonState, inner };
        this.forwarder = new LocalForwarder({
            owner: new DeduplicationFilter(register),
            revoker: new OwnerRevoker({ identity, attempts, operations }),
        });
    }

    /** True when the upstream was suspected at some time of the span. */
    isSuspected(fromMs: number, toMs: number): boolean {
        return this.suspicions.some(({ atMs, suspected }) => suspected && atMs >= fromMs && atMs < toMs);
    }

    buildState(): UpstreamState {
        return this.states.build(this.options.id)!;
    }
}
