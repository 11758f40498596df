/**
 * Runs three daemons with faults while callers send, repeat and cancel requests, and returns the history.
 *
 * @example
 * ```ts
 * const history = await runOperations({ seed: 1, faults: [], variant: new DaemonVariant() });
 * ```
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { EventKind } from "../event_kind.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { VirtualTime } from "../fakes/virtual_time.ts";
import type { HistoryEvent } from "../history_event.ts";
import { HistoryRecorder } from "../history_recorder.ts";
import { buildService } from "./build_service.ts";
import type { DaemonVariant } from "./daemon_variant.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeNetwork } from "./fake_network.ts";
import type { Fault } from "./fault.ts";
import { FaultKind } from "./fault_kind.ts";
import { formatOperation } from "./format_operation.ts";

interface Options {
    readonly seed: number;
    readonly faults: readonly Fault[];
    readonly variant: DaemonVariant;
}

const daemonIds = ["d0", "d1", "d2"];
const operationCount = 40;
/** Operations start within this time in milliseconds; copies of their requests follow for as long again. */
const startMs = 4_000;

export async function runOperations(options: Options): Promise<readonly HistoryEvent[]> {
    const simulation = new Simulation(options);
    simulation.start();
    await simulation.time.run(4 * startMs);
    return simulation.history.list();
}

class Simulation {
    readonly time = new VirtualTime();
    readonly history = new HistoryRecorder();
    private readonly random: SeededRandom;
    private readonly network: FakeNetwork;
    private readonly daemons = new Map<string, FakeDaemon>();
    private nextId = 0;

    constructor(private readonly options: Options) {
        this.random = new SeededRandom(options.seed);
        this.network = new FakeNetwork(this.time, this.random);
    }

    start(): void {
        const identities = daemonIds.map(ownerId => this.startDaemon(ownerId));
        this.daemons.forEach(({ owners }) => identities.forEach(identity => owners.setIncarnation(identity)));
        for (const fault of this.options.faults) {
            this.time.start(fault.atMs, () => this.apply(fault));
        }
        for (let index = 0; index < operationCount; index += 1) {
            this.time.start(this.random.getFloat() * startMs, () => this.startOperation(`pay ${index}`));
        }
    }

    private startDaemon(ownerId: string) {
        const identity = { ownerId, incarnation: `i${this.nextId++}` };
        const upstreams = daemonIds.flatMap(id => [buildUpstream(id, 1), buildUpstream(id, 2)]);
        const { time, network, random, history, options: { variant } } = this;
        const find = (id: string) => this.daemons.get(id)!;
        const daemon = new FakeDaemon({
            identity,
            upstreams,
            time,
            network,
            random,
            history,
            variant,
            find,
        });
        this.daemons.set(ownerId, daemon);
        return identity;
    }

    private runRestart(ownerId: string): void {
        this.daemons.get(ownerId)!.close();
        this.time.start(30, () => {
            const identity = this.startDaemon(ownerId);
            for (const [peerId, { owners, process }] of this.daemons) {
                this.network.send(
                    ownerId,
                    peerId,
                    () => process.handle(() => owners.setIncarnation(identity)),
                );
            }
        });
    }

    private apply(fault: Fault): void {
        const id = daemonIds[fault.daemon]!;
        const peerId = daemonIds[fault.peer]!;
        const daemon = this.daemons.get(id)!;
        if (fault.kind === FaultKind.Pause) {
            daemon.process.stop(fault.durationMs);
        }
        else if (fault.kind === FaultKind.Restart) {
            this.runRestart(id);
        }
        else if (fault.kind === FaultKind.Drain) {
            daemon.drain();
            this.time.start(fault.durationMs, () => this.runRestart(id));
        }
        else if (fault.kind === FaultKind.LinkLoss) {
            this.network.close(id, peerId, fault.durationMs);
        }
        else if (fault.kind === FaultKind.ClockStep) {
            daemon.process.addWallMs((fault.peer === 0 ? 2 : -2) * fault.durationMs);
        }
        else {
            const { selector } = this.daemons.get(peerId)!;
            const owned = selector.list(id);
            owned.forEach(upstream => selector.setEjected(upstream.id, true));
            this.time.start(
                fault.durationMs,
                () => owned.forEach(upstream => selector.setEjected(upstream.id, false)),
            );
        }
    }

    /**
     * Starts an operation whose caller sends copies of the request to any daemon, regardless of earlier
     * answers.
     */
    private startOperation(body: string): void {
        const { random } = this;
        const randomNumber = random.getFloat();
        const idempotent = randomNumber < 0.2;
        const issuer = this.daemons.get(this.getRandomDaemonId())!.issuer;
        const idempotencyKey = randomNumber < 0.5 ? undefined : issuer.create("payments").unwrapOr(undefined);
        const copies = idempotencyKey === undefined ? 1 : 1 + Math.floor(4 * random.getFloat());
        for (let copy = 0; copy < copies; copy += 1) {
            const delayMs = copy === 0 ? 0 : random.getFloat() * (random.getFloat() < 0.5 ? 200 : startMs);
            this.time.start(delayMs, () => this.send(body, idempotencyKey, idempotent));
        }
    }

    private send(body: string, idempotencyKey: string | undefined, idempotent: boolean): void {
        const { random, history, time } = this;
        const daemon = this.daemons.get(this.getRandomDaemonId())!;
        const { process } = daemon;
        const requestId = `r${this.nextId++}`;
        const budgetMs = 50 + 350 * random.getFloat();
        const caller = new AbortController();
        if (random.getFloat() < 0.1) {
            time.start(random.getFloat() * budgetMs, () => process.handle(() => caller.abort()));
        }
        process.handle(() => {
            const receivedAtMs = process.getMonotonicMs();
            const service = buildService(idempotent);
            const fields = { requestId, idempotencyKey, body: Buffer.from(body) };
            const operation = formatOperation(fields);
            const event = { actor: "caller", requestId, operation, idempotent };
            history.record({ kind: EventKind.CallerSent, atMs: receivedAtMs, ...event });
            const applied = daemon.entry.apply({
                ...fields,
                service,
                route: service.routes[0]!,
                method: "POST",
                host: "",
                path: "/payments",
                target: "/payments",
                headers: [],
                organisation: "org",
                budgetMs,
                receivedAtMs,
                deadlineMs: receivedAtMs + budgetMs,
                configVersion: 1,
                signal: caller.signal,
            });
            void Promise.resolve(applied).then(result => {
                const reply = result.unwrapOr(undefined);
                const { code, outcome } = reply ?? result._unsafeUnwrapErr();
                const answer = reply?.answer;
                const content = answer === undefined ? undefined : Buffer.from(answer.body).toString();
                const atMs = time.getMonotonicMs();
                history.record({ kind: EventKind.CallerAnswered, atMs, code, outcome, content, ...event });
            });
        });
    }

    private getRandomDaemonId(): string {
        return daemonIds[Math.floor(this.random.getFloat() * daemonIds.length)]!;
    }
}

function buildUpstream(ownerId: string, index: number) {
    const location = { failureDomain: "z", region: "r", ownerAddress: ownerId, leaving: false };
    return { id: `${ownerId}-u${index}`, service: "payments", ownerId, ...location };
}
