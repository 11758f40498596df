/**
 * Daemons of two failure domains in virtual time, with a store in which operators remove keys.
 *
 * @example
 * ```ts
 * const result = await new RevocationFleet({ seed: 1, faults }).run();
 * result.late; // requests that ran with a removed key after the bound
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Beacon } from "../../../src/beacon/beacon.ts";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { Upstream } from "../../../src/core/upstream.ts";
import type { PeerChanges } from "../../../src/published/peer_changes.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import { VirtualTime } from "../../fakes/virtual_time.ts";
import { buildUpstream } from "./build_upstream.ts";
import { ModelStore } from "./model_store.ts";
import { RevocationDaemon } from "./revocation_daemon.ts";
import { RevocationFault } from "./revocation_fault.ts";

interface ScheduledFault {
    readonly kind: RevocationFault;
    readonly daemon: number;
    readonly startMs: number;
    readonly durationMs: number;
}

interface Options {
    readonly seed: number;
    readonly faults: readonly ScheduledFault[];
    /** Breaks a daemon before it starts. */
    readonly mutate?: (daemon: RevocationDaemon) => void;
    /** Breaks the handling of a beacon that a daemon receives. */
    readonly mutateBeacon?: (daemon: RevocationDaemon, beacon: Beacon) => void;
}

interface FleetResult {
    /** Requests that ran with a removed key later than the bound after the confirmation. */
    readonly late: readonly string[];
    /** Requests with keys that were refused in calm. */
    readonly refused: readonly string[];
}

const size = 8;
const domains = 2;
const runMs = 32_000;
const maxAgeMs = 5_000;
const checkMs = 100;
/** Milliseconds without a fault after which a daemon is in touch; the platform's ContactS. */
const contactMs = 3_000;
const startupMs = 3_000;
const maxLateMs = 6_000;
/** Oldest copy from which the store comes back, and the time in which what it lacks is written again. */
const maxCopyAgeMs = 4_000;
const maxRewriteMs = 1_500;

/** Runs one schedule of faults. */
export class RevocationFleet {
    private readonly time = new VirtualTime();
    private readonly random: SeededRandom;
    private readonly store = new ModelStore(this.time);
    private readonly upstreams: readonly Upstream[];
    private readonly daemons: RevocationDaemon[] = [];
    private readonly confirmedAtMs: number[] = [];
    private readonly active = new Set<ScheduledFault>();
    private readonly late: string[] = [];
    private readonly refused: string[] = [];
    private starts = 0;
    private calmSinceMs = startupMs;

    constructor(private readonly options: Options) {
        this.random = new SeededRandom(options.seed);
        this.upstreams = Array.from(
            { length: size },
            (_, index) => buildUpstream(index, { failureDomain: `domain-${index % domains}` }),
        );
    }

    async run(): Promise<FleetResult> {
        for (const upstream of this.upstreams) {
            this.store.write(
                upstream.id,
                revision => ({ kind: StoreChangeKind.Upstream, revision, upstream }),
            );
        }
        this.writeConfiguration();
        this.upstreams.forEach((_, index) => this.startDaemon(index));
        for (const fault of this.options.faults) {
            this.time.start(fault.startMs, () => this.startFault(fault));
            this.time.start(fault.startMs + fault.durationMs, () => this.stopFault(fault));
        }
        this.check();
        await this.time.run(runMs);
        this.daemons.forEach(daemon => daemon.close());
        return { late: this.late, refused: this.refused };
    }

    /** Each version takes a key away. */
    private writeConfiguration(): void {
        const version = this.confirmedAtMs.length + 1;
        const configuration = { team: "", services: new Map() };
        const source = `${version}`;
        const kind = StoreChangeKind.Configuration;
        this.confirmedAtMs.push(
            this.store.write("config", revision => ({ kind, revision, version, source, configuration })),
        );
        this.time.start(500 + 5_000 * this.random.getFloat(), () => this.writeConfiguration());
    }

    private startDaemon(index: number): void {
        this.starts += 1;
        const upstream = this.upstreams[index]!;
        const daemon = new RevocationDaemon({
            upstream,
            seed: this.options.seed * 1_000 + this.starts,
            time: this.time,
            store: this.store,
            maxAgeMs,
            isReachable: () =>
                !this.isActive(RevocationFault.StoreDown) && !this.isActive(RevocationFault.StoreRestored)
                && !this.has(RevocationFault.StoreCut, index),
            getDelayMs: () => this.isActive(RevocationFault.StoreSlow) ? 400 : 4,
            send: (address, beacon) => this.send(index, address, beacon),
            fetchChanges: (address, after) => this.fetchChanges(index, address, after),
        });
        this.options.mutate?.(daemon);
        this.daemons[index] = daemon;
        daemon.start();
    }

    private send(from: number, address: string, beacon: Beacon): void {
        const to = this.upstreams.findIndex(({ ownerAddress }) => ownerAddress === address);
        const daemon = this.daemons[to];
        if (daemon === undefined || this.isCut(from, to)) {
            return;
        }
        const isLossy = this.isActive(RevocationFault.Lossy);
        for (let copy = 0; copy < (isLossy && this.random.getFloat() < 0.3 ? 2 : 1); copy++) {
            if (isLossy && this.random.getFloat() < 0.2) {
                continue;
            }
            // A restarted daemon can receive what was sent to its predecessor.
            const delayMs = isLossy && this.random.getFloat() < 0.3 ? maxLateMs * this.random.getFloat() : 1;
            this.time.start(delayMs, () => {
                const receiver = this.daemons[to]!;
                receiver.process.runAfter(0, () => {
                    receiver.exchange.handleBeacon(beacon);
                    this.options.mutateBeacon?.(receiver, beacon);
                });
            });
        }
    }

    private fetchChanges(
        from: number,
        address: string,
        after: Parameters<RevocationDaemon["follower"]["findChanges"]>[0],
    ): Promise<Result<PeerChanges, Failure>> {
        const to = this.upstreams.findIndex(({ ownerAddress }) => ownerAddress === address);
        const asker = this.daemons[from]!;
        const owner = this.daemons[to];
        return new Promise(resolve => {
            asker.process.timers.start(300, () => resolve(err(createFailure(Code.PeerUnreachable))));
            if (owner === undefined || this.isCut(from, to)) {
                return;
            }
            owner.process.runAfter(1, () => {
                const changes = owner.follower.findChanges(after);
                const failure = err(createFailure(Code.PlatformHistoryGone));
                asker.process.runAfter(1, () => resolve(changes === undefined ? failure : ok(changes)));
            });
        });
    }

    private startFault(fault: ScheduledFault): void {
        this.active.add(fault);
        const daemon = this.daemons[fault.daemon]!;
        if (fault.kind === RevocationFault.Freeze) {
            daemon.process.stop();
        }
        if (fault.kind === RevocationFault.Restart) {
            daemon.close();
        }
        if (fault.kind === RevocationFault.ClockStep) {
            daemon.process.wallOffsetMs += 20_000 * (this.random.getFloat() - 0.5);
        }
    }

    private stopFault(fault: ScheduledFault): void {
        this.active.delete(fault);
        this.calmSinceMs = this.time.getMonotonicMs();
        if (fault.kind === RevocationFault.Freeze && !this.has(RevocationFault.Freeze, fault.daemon)) {
            this.daemons[fault.daemon]!.process.start(() => this.checkDaemon(fault.daemon));
        }
        if (fault.kind === RevocationFault.StoreRestored) {
            const writeLost = this.store.load(maxCopyAgeMs * this.random.getFloat());
            this.time.start(maxRewriteMs * this.random.getFloat(), writeLost);
        }
        if (fault.kind === RevocationFault.Restart && !this.has(RevocationFault.Restart, fault.daemon)) {
            this.startDaemon(fault.daemon);
        }
    }

    private check(): void {
        this.time.start(checkMs, () => this.check());
        this.daemons.forEach((_, index) => this.checkDaemon(index));
    }

    private checkDaemon(index: number): void {
        const daemon = this.daemons[index]!;
        const nowMs = this.time.getMonotonicMs();
        const isServing = daemon.isServing();
        const version = daemon.configs.getActive()?.version ?? 0;
        const removedAtMs = this.confirmedAtMs[version];
        const text = `daemon ${index} at ${nowMs} ms with version ${version}`;
        if (isServing && removedAtMs !== undefined && nowMs > removedAtMs + maxAgeMs) {
            this.late.push(`${text}, which was replaced at ${removedAtMs} ms`);
        }
        if (!isServing && this.active.size === 0 && nowMs >= this.calmSinceMs + contactMs) {
            this.refused.push(text);
        }
    }

    private isActive(kind: RevocationFault): boolean {
        return [...this.active].some(fault => fault.kind === kind);
    }

    private has(kind: RevocationFault, index: number): boolean {
        return [...this.active].some(fault => fault.kind === kind && fault.daemon === index);
    }

    private isCut(from: number, to: number): boolean {
        return this.has(RevocationFault.PeersCut, from) || this.has(RevocationFault.PeersCut, to);
    }
}
