/**
 * A small fleet of control pipelines with seeded random faults.
 *
 * @example
 * ```ts
 * const fleet = new ConfigFleet({ seed: 1 });
 * const history = await fleet.run(120_000);
 * ```
 *
 * @module
 */
import type { Upstream } from "../../../src/core/upstream.ts";
import type { PeerControlClient } from "../../../src/gossip/peer_control_client.ts";
import { EventKind } from "../../event_kind.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import { VirtualTime } from "../../fakes/virtual_time.ts";
import type { HistoryEvent } from "../../history_event.ts";
import { HistoryRecorder } from "../../history_recorder.ts";
import { buildUpstream } from "./build_upstream.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeNetwork } from "./fake_network.ts";
import { FakePlatform } from "./fake_platform.ts";

interface Options {
    readonly seed: number;
    readonly daemons?: number;
    /** Replacements by which a mutation breaks each daemon. */
    readonly mutation?: Partial<ConstructorParameters<typeof FakeDaemon>[0]>;
    /** Wraps the control client of one daemon, for example to corrupt what it receives. */
    readonly createControl?: (control: PeerControlClient, index: number) => PeerControlClient;
}

/** Daemons in three failure domains. */
export class ConfigFleet {
    readonly time = new VirtualTime();
    readonly history = new HistoryRecorder();
    readonly platform = new FakePlatform(this.time, this.history);
    readonly network: FakeNetwork;
    readonly daemons: FakeDaemon[] = [];
    readonly upstreams: readonly Upstream[];
    private readonly random: SeededRandom;
    private readonly disconnectCounts = new Map<string, number>();
    private publishedCount = 0;
    private startCount = 0;

    constructor(private readonly options: Options) {
        this.random = new SeededRandom(options.seed);
        this.network = new FakeNetwork(() => 0.5 + this.random.getFloat());
        this.upstreams = Array.from({ length: options.daemons ?? 18 }, (_, index) => buildUpstream(index));
        this.platform.setInstances(this.upstreams);
        this.addConfiguration();
    }

    /** Starts all daemons and injects faults until 30 s before the end; the last 30 s run without faults. */
    async run(durationMs: number): Promise<readonly HistoryEvent[]> {
        await this.start();
        while (this.time.getMonotonicMs() < durationMs - 30_000) {
            await this.runFault(4_000 + this.random.getFloat() * 16_000);
        }
        await this.time.run(30_000);
        this.close();
        return this.history.list();
    }

    async start(): Promise<void> {
        for (const index of this.upstreams.keys()) {
            this.startDaemon(index);
        }
        await this.time.run(6_000);
    }

    close(): void {
        for (const daemon of this.daemons) {
            daemon.close();
        }
    }

    /** Publishes a configuration, sometimes two at the same time, and sometimes an invalid one. */
    addConfiguration(): void {
        const count = this.random.getFloat() < 0.2 ? 2 : 1;
        for (let index = 0; index < count; index++) {
            this.publishedCount += 1;
            const kind = this.random.getFloat() < 0.15 && this.publishedCount > 1 ? "invalid" : "valid";
            this.platform.addHead(
                `team: ${kind}-${this.publishedCount}\nservices:\n  a:\n    floor: 1\n  b:\n    floor: 2\n`,
            );
        }
    }

    startDaemon(index: number): void {
        this.startCount += 1;
        const { seed, mutation, createControl } = this.options;
        const daemon = new FakeDaemon({
            upstream: this.upstreams[index]!,
            incarnation: `incarnation-${this.startCount}`,
            seed: seed * 1_000 + this.startCount,
            time: this.time,
            network: this.network,
            platform: this.platform,
            history: this.history,
            seeds: [1, 2, 3].map(offset =>
                this.upstreams[(index + offset) % this.upstreams.length]!.ownerAddress
            ),
            ...(createControl === undefined
                ? {}
                : { createControl: control => createControl(control, index) }),
            ...mutation,
        });
        this.daemons[index] = daemon;
        void daemon.start();
    }

    /** A daemon counts as connected when no active fault disconnects it. */
    setConnected(index: number, connected: boolean): void {
        const actor = this.upstreams[index]!.ownerId;
        const before = this.disconnectCounts.get(actor) ?? 0;
        const after = before + (connected ? -1 : 1);
        this.disconnectCounts.set(actor, after);
        if ((before === 0) !== (after === 0)) {
            const kind = connected ? EventKind.DaemonConnected : EventKind.DaemonDisconnected;
            this.history.record({ kind, atMs: this.time.getMonotonicMs(), actor });
        }
    }

    /** Runs for `durationMs` with one to three faults while operators publish configurations. */
    private async runFault(durationMs: number): Promise<void> {
        const faults = [
            () => this.setOutage(),
            () => this.setStale(hasOtherFaults),
            () => this.setOneWayCuts(),
            () => this.setPartition(),
            () => this.setPauses(),
            () => this.setRestarts(),
            () => this.setRestore(),
        ];
        const heals: (() => void)[] = [];
        const count = 1 + Math.floor(this.random.getFloat() * 3);
        const hasOtherFaults = count > 1;
        for (let index = 0; index < count; index++) {
            const [fault] = faults.splice(Math.floor(this.random.getFloat() * faults.length), 1);
            heals.push(fault!());
        }
        const endMs = this.time.getMonotonicMs() + durationMs;
        while (this.time.getMonotonicMs() < endMs) {
            await this.time.run(1_000 + this.random.getFloat() * 4_000);
            this.addConfiguration();
        }
        for (const heal of heals) {
            heal();
        }
        await this.time.run(this.random.getFloat() * 20_000);
    }

    private setOutage(): () => void {
        this.platform.setAvailable(() => false, false);
        return () => this.platform.setAvailable(() => true, true);
    }

    /**
     * Makes the platform stale for all readers, or for those outside one failure domain. A simultaneous other
     * fault can make the last fresh readers unreachable, so new values then do not count as readable.
     */
    private setStale(hasOtherFaults: boolean): () => void {
        const freshDomain = this.random.getFloat() < 0.5
            ? undefined
            : this.upstreams.slice(0, 1)[0]!.failureDomain;
        const domains = new Map(this.upstreams.map(upstream => [upstream.ownerId, upstream.failureDomain]));
        this.platform.setStale(
            reader => domains.get(reader) !== freshDomain,
            freshDomain !== undefined && !hasOtherFaults,
        );
        return () => this.platform.setStale(() => false, true);
    }

    /** Blocks one in five links in one direction; every daemon keeps most of its links. */
    private setOneWayCuts(): () => void {
        const cuts = new Set<string>();
        for (const from of this.upstreams) {
            for (const to of this.upstreams) {
                if (this.random.getFloat() < 0.2) {
                    cuts.add(`${from.ownerAddress} ${to.ownerAddress}`);
                }
            }
        }
        this.network.setCuts((from, to) => cuts.has(`${from} ${to}`));
        return () => this.network.setCuts(() => false);
    }

    /** Partitions one failure domain from the others; both sides reach the platform. */
    private setPartition(): () => void {
        const isInside = new Map(
            this.upstreams.map((upstream, index) => [upstream.ownerAddress, index % 3 === 0]),
        );
        this.network.setCuts((from, to) => isInside.get(from) !== isInside.get(to));
        return () => this.network.setCuts(() => false);
    }

    private setPauses(): () => void {
        const paused = [this.selectIndex(), this.selectIndex()].map(index => ({
            index,
            daemon: this.daemons[index]!,
        }));
        for (const { index, daemon } of paused) {
            this.setConnected(index, false);
            daemon.timers.setPaused(true);
        }
        return () => {
            for (const { index, daemon } of paused) {
                daemon.timers.setPaused(false);
                this.setConnected(index, true);
            }
        };
    }

    private setRestarts(): () => void {
        const indexes = [...new Set([this.selectIndex(), this.selectIndex(), this.selectIndex()])];
        for (const index of indexes) {
            this.setConnected(index, false);
            this.daemons[index]!.close();
        }
        return () => {
            for (const index of indexes) {
                this.setConnected(index, true);
                this.startDaemon(index);
            }
        };
    }

    /**
     * Restores the platform from a backup; operators then publish until the version exceeds the former one.
     */
    private setRestore(): () => void {
        const { version } = this.platform.getHead()!;
        this.platform.setHead({ name: "head", version: Math.max(1, version - 3), content: "team: backup\n" });
        return () => {
            while (this.platform.getHead()!.version <= version) {
                this.addConfiguration();
            }
        };
    }

    private selectIndex(): number {
        return Math.floor(this.random.getFloat() * this.upstreams.length);
    }
}
