import { Code } from "../../../src/core/code.ts";
import type { Upstream } from "../../../src/core/upstream.ts";
import { DaemonState } from "../../../src/lifecycle/daemon_state.ts";
import type { DrainableListener } from "../../../src/lifecycle/drainable_listener.ts";
import { Lifecycle } from "../../../src/lifecycle/lifecycle.ts";
import type { QueuedWorkReleaser } from "../../../src/lifecycle/queued_work_releaser.ts";
import { RequestSource } from "../../../src/lifecycle/request_source.ts";
import { EventKind } from "../../event_kind.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";
import type { HistoryRecorder } from "../../history_recorder.ts";
import type { DrainMutation } from "./drain_mutation.ts";
import type { FakeDaemon } from "./fake_daemon.ts";

interface Options {
    readonly control: FakeDaemon;
    readonly upstream: Upstream;
    readonly time: VirtualTime;
    readonly history: HistoryRecorder;
    readonly mutation: DrainMutation;
    readonly find: (daemonId: string) => DrainableDaemon | undefined;
    readonly getRandomServiceMs: () => number;
}

interface QueuedRequest {
    readonly closeRequest: (code: Code) => void;
}

const slots = 2;

/** Entry and owner of one daemon, reduced to what leaving and a graceful stop need. */
export class DrainableDaemon implements DrainableListener, QueuedWorkReleaser {
    readonly lifecycle: Lifecycle;
    private accepting = true;
    private running = 0;
    private readonly queue: QueuedRequest[] = [];
    /** Completes each request in flight at this daemon with the given code. */
    private readonly inFlight = new Set<(code: Code) => void>();

    constructor(private readonly options: Options) {
        const { control, time, mutation } = options;
        const { timers, sinks, gossip } = control;
        this.lifecycle = (mutation.createLifecycle ?? (settings => new Lifecycle(settings)))({
            clock: time,
            timers,
            audit: sinks,
            logger: sinks,
            metrics: sinks,
            queue: this,
            announcer: gossip,
            getListeners: () => [this],
            graceMs: 5_000,
            limitMs: 60_000,
        });
        this.lifecycle.setServing();
    }

    /**
     * Returns false when the daemon refuses callers or its port is closed; callers then use another daemon.
     */
    isAccepting(): boolean {
        return this.accepting && !this.lifecycle.isRefusing();
    }

    stop(): void {
        this.accepting = false;
    }

    async close(): Promise<void> {
        for (const cut of this.inFlight) {
            cut(Code.PeerCut);
        }
        this.options.control.close();
    }

    releaseQueued(): number {
        const queued = this.queue.splice(0);
        for (const request of this.options.mutation.dropsQueue ? [] : queued) {
            request.closeRequest(Code.OwnerLeaving);
        }
        return queued.length;
    }

    /** Handles a caller's request until it is answered. */
    async handleCaller(requestId: string): Promise<void> {
        const code = await this.runInFlight(() => this.runAttempts());
        const { time, history } = this.options;
        history.record({
            kind: EventKind.CallerAnswered,
            atMs: time.getMonotonicMs(),
            actor: "caller",
            requestId,
            code,
        });
    }

    /** Handles a request for the upstream of this daemon. */
    handleOwner(): Promise<Code> {
        const { control, upstream, mutation } = this.options;
        return this.runInFlight(async () => {
            const isLeaving = this.lifecycle.getState() !== DaemonState.Serving
                || control.membership.isLeaving(upstream.id);
            if (isLeaving && !mutation.acceptsWhileLeaving) {
                return Code.OwnerLeaving;
            }
            return new Promise<Code>(closeRequest => {
                this.queue.push({ closeRequest });
                this.runNext();
            });
        });
    }

    private async runAttempts(): Promise<Code> {
        const { control, find } = this.options;
        for (let attempt = 0; attempt < 10; attempt++) {
            const live = control.membership.list("payments");
            const upstream = live[Math.floor(this.options.getRandomServiceMs() * 7) % live.length];
            const owner = upstream === undefined ? undefined : find(upstream.ownerId);
            if (upstream === undefined || owner === undefined) {
                continue;
            }
            await this.waitMs(1);
            const code = await owner.handleOwner();
            await this.waitMs(1);
            if (code !== Code.OwnerLeaving) {
                return code;
            }
            control.membership.setLeaving(upstream.id, "reply");
        }
        return Code.NoUpstream;
    }

    private async runInFlight(handle: () => Promise<Code>): Promise<Code> {
        const inFlightRequest = this.lifecycle.registerRequest(RequestSource.Caller);
        if (inFlightRequest === undefined) {
            return Code.OwnerLeaving;
        }
        return new Promise<Code>(resolve => {
            const closeRequest = (code: Code) => {
                this.inFlight.delete(closeRequest);
                inFlightRequest.close(true);
                resolve(code);
            };
            this.inFlight.add(closeRequest);
            void handle().then(closeRequest);
        });
    }

    private runNext(): void {
        const { upstream, time, history, getRandomServiceMs } = this.options;
        const request = this.running < slots ? this.queue.shift() : undefined;
        if (request === undefined) {
            return;
        }
        this.running += 1;
        const upstreamId = upstream.id;
        history.record({
            kind: EventKind.UpstreamStarted,
            atMs: time.getMonotonicMs(),
            actor: upstreamId,
            upstreamId,
        });
        time.start(getRandomServiceMs(), () => {
            this.running -= 1;
            request.closeRequest(Code.Ok);
            this.runNext();
        });
    }

    private waitMs(durationMs: number): Promise<void> {
        return new Promise(resolve => void this.options.time.start(durationMs, resolve));
    }
}
