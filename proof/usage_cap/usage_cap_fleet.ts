/**
 * Daemons with usage caps on a network in virtual time.
 *
 * @example
 * ```ts
 * const fleet = new UsageCapFleet({ daemons: 10, seed: 1, organisation });
 * fleet.send(0);
 * await fleet.time.run(1_000);
 * fleet.takenAtMs;
 * ```
 *
 * @module
 */
import { NullSinks } from "../../measure/capacity/null_sinks.ts";
import type { Organisation } from "../../src/config/organisation.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";
import type { UsageCapBounds } from "../../src/usage_cap/usage_cap_bounds.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { VirtualTime } from "../fakes/virtual_time.ts";
import { UsageCapDaemon } from "./usage_cap_daemon.ts";

interface Options {
    readonly daemons: number;
    readonly seed: number;
    readonly organisation: Organisation;
    readonly bounds?: UsageCapBounds;
    /** Share of the datagrams that are lost; 0 by default. */
    readonly lossShare?: number;
    /** Fault that a test is expected to notice: a new process assumes that it has run for ever. */
    readonly forgetsStart?: boolean;
}

/** One-way latency of a datagram, least and in addition at most, in milliseconds. */
const minDelayMs = 0.3;
const extraDelayMs = 1.5;

/** All daemons serve callers of one organisation. */
export class UsageCapFleet {
    readonly time = new VirtualTime();
    readonly bounds: UsageCapBounds;
    readonly daemons: readonly UsageCapDaemon[];
    /** Times at which a request was counted, on any daemon. */
    readonly takenAtMs: number[] = [];
    refused = 0;
    datagrams = 0;
    organisation: Organisation;
    list: ReadonlyMap<string, DaemonInfo>;
    /** Caps in the order in which they came into force. */
    private readonly caps: { readonly sinceMs: number; readonly organisation: Organisation; }[];
    private readonly random: SeededRandom;
    /** Side of the network of each daemon; daemons on different sides do not reach each other. */
    private readonly sides = new Map<string, number>();

    constructor(private readonly options: Options) {
        this.bounds = options.bounds ?? { windowMs: 5_000, overage: 0.25, slack: 20 };
        this.organisation = options.organisation;
        this.caps = [{ sinceMs: 0, organisation: options.organisation }];
        this.random = new SeededRandom(options.seed);
        this.list = new Map(
            Array.from({ length: options.daemons }, (_, index) => {
                const id = `daemon-${index}`;
                const failureDomain = `domain-${index % 4}`;
                return [id, { id, address: id, failureDomain, region: "r", leaving: false }] as const;
            }),
        );
        this.daemons = [...this.list.values()].map(info =>
            new UsageCapDaemon({
                fleet: this,
                info,
                random: this.random,
                sinks: new NullSinks(),
                forgetsStart: options.forgetsStart ?? false,
            })
        );
        this.daemons.forEach(daemon => daemon.start());
    }

    /** Sends one request to a daemon. */
    send(index: number): void {
        void this.daemons[index]!.handleRequest();
    }

    setSide(id: string, side: number): void {
        this.sides.set(id, side);
    }

    /** Puts a configuration in force, at all daemons at once, whose cap is a share of the first one. */
    setCapShare(share: number): void {
        const { burst, requestsPerSecond } = this.options.organisation;
        this.organisation = {
            ...this.organisation,
            burst: burst * share,
            requestsPerSecond: requestsPerSecond * share,
        };
        this.caps.push({ sinceMs: this.time.getMonotonicMs(), organisation: this.organisation });
    }

    /** Delivers a message unless it is lost; a frozen daemon handles it when it wakes. */
    forward(fromId: string, toId: string, handle: (receiver: UsageCapDaemon) => void): void {
        this.datagrams += 1;
        const receiver = this.daemons.find(({ id }) => id === toId);
        const isCut = (this.sides.get(fromId) ?? 0) !== (this.sides.get(toId) ?? 0);
        if (receiver === undefined || isCut || this.random.getFloat() < (this.options.lossShare ?? 0)) {
            return;
        }
        const { incarnation } = receiver;
        this.time.start(minDelayMs + extraDelayMs * this.random.getFloat(), () => {
            if (receiver.incarnation === incarnation) {
                receiver.runAwake(() => handle(receiver));
            }
        });
    }

    /**
     * Requests by which the sum of some window exceeds its bound, negative when none does. The bound of a window
     * is that of the highest cap in force since it began.
     */
    computeLargestExcess(): number {
        const { overage, slack, windowMs } = this.bounds;
        const times = this.takenAtMs.toSorted((left, right) => left - right);
        return times.reduce((largest, fromMs, index) => {
            const end = times.findIndex(atMs => atMs > fromMs + windowMs);
            const bounds = this.caps
                .filter(({ sinceMs }, at) =>
                    sinceMs <= fromMs + windowMs && (this.caps[at + 1]?.sinceMs ?? Infinity) >= fromMs
                )
                .map(({ organisation: { burst, requestsPerSecond } }) =>
                    (requestsPerSecond * windowMs / 1_000 + burst) * (1 + overage) + slack
                );
            const sum = (end < 0 ? times.length : end) - index;
            return Math.max(largest, sum - Math.max(...bounds));
        }, -Infinity);
    }

    close(): void {
        this.daemons.forEach(daemon => daemon.close());
    }
}
