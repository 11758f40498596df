/**
 * A small fleet that serves requests while upstreams leave and daemons stop gracefully.
 *
 * @example
 * ```ts
 * const history = await new DrainFleet({ seed: 1 }).run(60_000);
 * ```
 *
 * @module
 */
import type { HeadExchange } from "../../../src/gossip/head_exchange.ts";
import { EventKind } from "../../event_kind.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import type { HistoryEvent } from "../../history_event.ts";
import { ConfigFleet } from "./config_fleet.ts";
import type { DrainMutation } from "./drain_mutation.ts";
import { DrainableDaemon } from "./drainable_daemon.ts";

interface Options {
    readonly seed: number;
    readonly mutation?: DrainMutation;
    /** Blocks one in ten links in each direction during the run. */
    readonly cuts?: boolean;
}

const size = 12;

/** Entry, owner and control pipelines of twelve daemons, with callers. */
export class DrainFleet {
    private readonly fleet: ConfigFleet;
    private readonly random: SeededRandom;
    private readonly daemons: DrainableDaemon[] = [];
    private readonly leavingInList = new Set<number>();
    private requests = 0;
    private stopped = false;

    constructor(private readonly options: Options) {
        this.random = new SeededRandom(options.seed);
        const { dropsNotices = false } = options.mutation ?? {};
        const removeLeaving = (message: HeadExchange): HeadExchange => ({
            ...message,
            notices: message.notices.filter(({ leaving }) => !leaving || !dropsNotices),
        });
        this.fleet = new ConfigFleet({
            seed: options.seed,
            daemons: size,
            createControl: control => ({
                sendHeads: async (address, message, timeoutMs) => {
                    const result = await control.sendHeads(address, removeLeaving(message), timeoutMs);
                    return result.map(removeLeaving);
                },
                fetchSections: (address, request, timeoutMs) =>
                    control.fetchSections(address, request, timeoutMs),
            }),
        });
    }

    /** Callers send 100 requests per second while daemons stop one after another or upstreams leave. */
    async run(durationMs: number): Promise<readonly HistoryEvent[]> {
        const { fleet } = this;
        await fleet.start();
        for (let index = 0; index < size; index++) {
            this.startDaemon(index);
        }
        this.setCuts();
        this.sendRequests();
        const endMs = fleet.time.getMonotonicMs() + durationMs;
        while (fleet.time.getMonotonicMs() < endMs) {
            const index = Math.floor(this.random.getFloat() * size);
            await (this.random.getFloat() < 0.6 ? this.runStop(index) : this.runLeaving(index));
        }
        this.stopped = true;
        await fleet.time.run(10_000);
        fleet.close();
        return fleet.history.list();
    }

    private setCuts(): void {
        const cuts = new Set<string>();
        for (const from of this.options.cuts ? this.fleet.upstreams : []) {
            for (const to of this.fleet.upstreams.filter(() => this.random.getFloat() < 0.1)) {
                cuts.add(`${from.ownerAddress} ${to.ownerAddress}`);
            }
        }
        this.fleet.network.setCuts((from, to) => cuts.has(`${from} ${to}`));
    }

    private startDaemon(index: number): void {
        this.daemons[index] = new DrainableDaemon({
            control: this.fleet.daemons[index]!,
            upstream: this.fleet.upstreams[index]!,
            time: this.fleet.time,
            history: this.fleet.history,
            mutation: this.options.mutation ?? {},
            find: daemonId =>
                this.daemons[this.fleet.upstreams.findIndex(({ ownerId }) => ownerId === daemonId)],
            getRandomServiceMs: () => 50 + this.random.getFloat() * 250,
        });
    }

    /** Stops one daemon, or two at the same time, gracefully and restarts them as new processes. */
    private async runStop(index: number): Promise<void> {
        const secondIndex = (index + 1 + Math.floor(this.random.getFloat() * (size - 1))) % size;
        const indexes = this.random.getFloat() < 0.4 ? [index, secondIndex] : [index];
        for (const stopped of indexes) {
            this.record(EventKind.UpstreamLeaving, stopped);
            void this.daemons[stopped]!.lifecycle.drain("operator");
        }
        await this.fleet.time.run(12_000);
        for (const stopped of indexes) {
            this.fleet.startDaemon(stopped);
        }
        await this.fleet.time.run(3_000);
        for (const stopped of indexes) {
            this.record(EventKind.UpstreamReturned, stopped);
            this.startDaemon(stopped);
        }
    }

    /** Marks an upstream as leaving in the instance list for 12 s. */
    private async runLeaving(index: number): Promise<void> {
        this.leavingInList.add(index);
        this.record(EventKind.UpstreamLeaving, index);
        this.updateList();
        await this.fleet.time.run(12_000);
        this.leavingInList.delete(index);
        this.record(EventKind.UpstreamReturned, index);
        this.updateList();
    }

    private updateList(): void {
        const { upstreams, platform } = this.fleet;
        platform.setInstances(
            upstreams.map((upstream, index) => ({ ...upstream, leaving: this.leavingInList.has(index) })),
        );
    }

    private sendRequests(): void {
        const accepting = this.daemons.filter(daemon => daemon.isAccepting());
        const entryDaemon = accepting[Math.floor(this.random.getFloat() * accepting.length)];
        if (entryDaemon !== undefined) {
            const requestId = `request-${this.requests++}`;
            const atMs = this.fleet.time.getMonotonicMs();
            this.fleet.history.record({ kind: EventKind.CallerSent, atMs, actor: "caller", requestId });
            void entryDaemon.handleCaller(requestId);
        }
        if (!this.stopped) {
            this.fleet.time.start(this.random.getFloat() * 20, () => this.sendRequests());
        }
    }

    private record(kind: EventKind, index: number): void {
        const { id: upstreamId } = this.fleet.upstreams[index]!;
        this.fleet.history.record({
            kind,
            atMs: this.fleet.time.getMonotonicMs(),
            actor: upstreamId,
            upstreamId,
        });
    }
}
