/**
 * Replays Poisson arrivals at the queue of one upstream in virtual time.
 *
 * @module
 */
import type { RouteConfig } from "../../src/config/route_config.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "../../src/queue/configured_upstreams.ts";
import { FixedSlotLimit } from "../../src/queue/fixed_slot_limit.ts";
import { NoShedPolicy } from "../../src/queue/no_shed_policy.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import { buildOwnerRequest } from "../fakes/build_owner_request.ts";
import { buildService } from "../fakes/build_service.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { VirtualTime } from "../fakes/virtual_time.ts";

interface Demand {
    readonly organisation?: string;
    readonly route: Pick<RouteConfig, "priority" | "targetMs" | "serviceMs">;
    /** Requests per second at a time in virtual milliseconds. */
    readonly getRate: (nowMs: number) => number;
}

interface Options {
    readonly seed: number;
    readonly slots: number;
    readonly durationMs: number;
    readonly demands: readonly Demand[];
}

/** Requests of one demand. */
interface Total {
    sent: number;
    /** Answered within the target of their route. */
    inTarget: number;
}

/** Longest interval in milliseconds after which a changed rate has effect. */
const maxStepMs = 100;

/** One upstream whose service times vary by half of their mean. */
export class QueueReplay {
    readonly totals: readonly Total[];
    private readonly time = new VirtualTime();
    private readonly random: SeededRandom;
    private readonly queue: QueueFilter;
    private readonly service;

    constructor(private readonly options: Options) {
        const { demands, seed, slots } = options;
        this.random = new SeededRandom(seed);
        this.totals = demands.map(() => ({ sent: 0, inTarget: 0 }));
        this.service = buildService({
            routes: demands.map(({ route }) => ({
                ...route,
                idempotent: false,
                deadlineMs: 2 * route.targetMs,
            })),
            limits: { organisationPercent: 100 },
        });
        this.queue = new QueueFilter({
            clock: this.time,
            timers: this.time,
            upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address: "", slots }]),
            daemonState: { getState: () => DaemonState.Serving },
            createShedPolicy: () => new NoShedPolicy(),
            createSlotLimit: nominal => new FixedSlotLimit(nominal),
        });
    }

    async run(): Promise<void> {
        this.options.demands.forEach((_, index) => this.startArrivals(index));
        await this.time.run(this.options.durationMs);
    }

    /** Share of the requests of a demand that were answered within their target. */
    computeShare(index: number): number {
        const { inTarget, sent } = this.totals[index]!;
        return inTarget / sent;
    }

    private startArrivals(index: number): void {
        const rate = this.options.demands[index]!.getRate(this.time.getMonotonicMs());
        const gapMs = -Math.log(1 - this.random.getFloat()) * 1_000 / rate;
        // An exponential gap has no memory, so that it can be drawn again after each step.
        this.time.start(Math.min(gapMs, maxStepMs), () => {
            if (gapMs <= maxStepMs) {
                void this.runRequest(index);
            }
            this.startArrivals(index);
        });
    }

    private async runRequest(index: number): Promise<void> {
        const { organisation = "o1", route: { serviceMs, targetMs } } = this.options.demands[index]!;
        const receivedAtMs = this.time.getMonotonicMs();
        const total = this.totals[index]!;
        total.sent += 1;
        const route = this.service.routes[index]!;
        const scheduled = await this.queue.apply(
            buildOwnerRequest({ service: this.service, route, receivedAtMs, organisation }),
        );
        if (scheduled.isErr()) {
            return;
        }
        const durationMs = serviceMs * (0.5 + this.random.getFloat());
        this.time.start(durationMs, () => {
            total.inTarget += this.time.getMonotonicMs() - receivedAtMs <= targetMs ? 1 : 0;
            scheduled.value.permit.close(durationMs);
        });
    }
}
