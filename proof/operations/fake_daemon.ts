import { err, ok } from "neverthrow";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import { Pipeline } from "../../src/core/pipeline.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import { DispatchFilter } from "../../src/dispatch/dispatch_filter.ts";
import { PauseDetector } from "../../src/dispatch/pause_detector.ts";
import { AttemptExchanger } from "../../src/forward/attempt_exchanger.ts";
import { AttemptFilter } from "../../src/forward/attempt_filter.ts";
import { NoHedgingPolicy } from "../../src/forward/no_hedging_policy.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { DeduplicationFilter } from "../../src/operations/deduplication_filter.ts";
import { KeyIssuer } from "../../src/operations/key_issuer.ts";
import { KeyedSelector } from "../../src/operations/keyed_selector.ts";
import { KnownOwnerTable } from "../../src/operations/known_owner_table.ts";
import type { OwnerIdentity } from "../../src/operations/owner_identity.ts";
import { OwnerRevoker } from "../../src/operations/owner_revoker.ts";
import type { Revoker } from "../../src/operations/revoker.ts";
import { ConfiguredUpstreams } from "../../src/queue/configured_upstreams.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import { SettleFilter } from "../../src/settle/settle_filter.ts";
import { UpstreamStateBuilder } from "../../src/settle/upstream_state_builder.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";
import type { HistoryRecorder } from "../history_recorder.ts";
import type { DaemonVariant } from "./daemon_variant.ts";
import { FakeForwarder } from "./fake_forwarder.ts";
import type { FakeNetwork } from "./fake_network.ts";
import { FakeProcess } from "./fake_process.ts";
import { FakeSelector } from "./fake_selector.ts";
import { FakeUpstreamClient } from "./fake_upstream_client.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly upstreams: readonly Upstream[];
    readonly time: VirtualTime;
    readonly network: FakeNetwork;
    readonly random: RandomSource;
    readonly history: HistoryRecorder;
    readonly variant: DaemonVariant;
    readonly find: (daemonId: string) => FakeDaemon;
}

/** One daemon: its real filters over a fake selector, network, process and upstream client. */
export class FakeDaemon {
    readonly process: FakeProcess;
    readonly selector: FakeSelector;
    readonly owners: KnownOwnerTable;
    readonly revoker: Revoker;
    readonly issuer: KeyIssuer;
    readonly entry: Filter<RoutedRequest, OwnerReply>;
    private readonly deduplication: Filter<OwnerRequest, OwnerReply>;
    private readonly closeListeners: (() => void)[] = [];
    private state: DaemonState = DaemonState.Serving;

    constructor(private readonly options: Options) {
        const { identity, upstreams, time, network, random, history, variant, find } = options;
        const process = this.process = new FakeProcess(time);
        const daemonState = { getState: () => this.state };
        const evidence = { record: () => undefined, getScore: () => 0 };
        const owned = upstreams.filter(({ ownerId }) => ownerId === identity.ownerId)
            .map(({ id, service }) => ({ id, service, address: "", slots: 1 }));
        const queue = new QueueFilter({
            clock: process,
            timers: process,
            upstreams: new ConfiguredUpstreams(owned),
            daemonState,
        });
        const pauses = new PauseDetector({ clock: process, timers: process, turns: process });
        pauses.start();
        const observer = { start: () => undefined, record: () => undefined };
        const attempts = variant.createAttempts();
        const operations = variant.createOperations(process);
        const states = new UpstreamStateBuilder({ queues: queue, evidence, daemonState });
        const client = new FakeUpstreamClient({ time, process, random, history });
        const inner = Pipeline.start(queue)
            .pipe(
                new DispatchFilter({
                    client,
                    clock: process,
                    daemonState,
                    gate: attempts,
                    pauses,
                    observer,
                }),
            )
            .pipe(new SettleFilter({ identity, observer, states }));
        const deduplication = new DeduplicationFilter({
            identity,
            attempts,
            operations,
            states,
            daemonState,
            inner,
        });
        this.deduplication = variant.createDeduplication(deduplication, identity);
        this.revoker = variant.createRevoker(new OwnerRevoker({ identity, attempts, operations }), identity);

        const selector = this.selector = new FakeSelector(upstreams, random);
        const membership = { list: () => upstreams, getFirstSeenMs: () => 0, getVersion: () => 1 };
        const owners = this.owners = new KnownOwnerTable({
            incarnations: { getIncarnation: () => undefined },
            identity,
            clock: process,
            membership,
            preference: selector,
        });
        this.issuer = new KeyIssuer({ owners, clock: process, random, validMs: 2_000 });
        const baselines = { getBaselineMs: () => 0 };
        const keyedSelector = new KeyedSelector({
            upstreams: selector,
            owners,
            preference: selector,
            baselines,
        });
        const daemonId = identity.ownerId;
        const forwarder = variant.createForwarder(
            new FakeForwarder({ daemonId, process, network, random, find }),
        );
        const metrics = { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined };
        const exchanger = new AttemptExchanger({ forwarder, clock: process, timers: process, metrics });
        const budget = {
            add: () => undefined,
            has: () => true,
            take: () => true,
            addRepeat: () => undefined,
            release: () => undefined,
        };
        const leaving = { setLeaving: () => undefined };
        const admit: Filter<RoutedRequest, RoutedRequest> = {
            apply: input => random.getFloat() < 0.03 ? err(createFailure(Code.EntryOverloaded)) : ok(input),
        };
        this.entry = variant.createEntry(
            Pipeline.start(admit).pipe(
                new AttemptFilter({
                    selector,
                    keyedSelector,
                    owners,
                    exchanger,
                    budget,
                    hedging: new NoHedgingPolicy(),
                    leaving,
                    clock: process,
                    timers: process,
                }),
            ),
        );
    }

    handleRequest(
        selected: SelectedRequest,
        remainingMs: number,
        signal: AbortSignal,
        reply: (reply: OwnerReply) => void,
    ): void {
        this.process.handle(() => {
            const receivedAtMs = this.process.getMonotonicMs();
            const deadlineMs = receivedAtMs + remainingMs;
            const upstreamId = selected.upstream.id;
            const request = { ...selected, upstreamId, receivedAtMs, deadlineMs, signal };
            void Promise.resolve(this.deduplication.apply(request)).then(result =>
                reply(result._unsafeUnwrap())
            );
        });
    }

    /** Runs `handleClose` when the process ends. */
    addCloseListener(handleClose: () => void): void {
        this.closeListeners.push(handleClose);
    }

    drain(): void {
        this.state = DaemonState.Draining;
    }

    close(): void {
        this.process.close();
        const { network, identity } = this.options;
        this.closeListeners.forEach(handleClose => network.send(identity.ownerId, "", handleClose));
    }
}
