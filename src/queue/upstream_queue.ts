/**
 * Queue and slots of one upstream.
 *
 * @example
 * ```ts
 * const queue = new UpstreamQueue(upstream, clock, timers);
 * const result = await queue.add(request);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { LimitsConfig } from "../config/limits_config.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { Timers } from "../core/timers.ts";
import { WorkClass } from "../core/work_class.ts";
import { FairQueue } from "./fair_queue.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { OwnerRequest } from "./owner_request.ts";
import type { QueueEntry } from "./queue_entry.ts";
import type { QueueState } from "./queue_state.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { ServiceTimes } from "./service_times.ts";
import type { SlotLease } from "./slot_lease.ts";

interface Running {
    readonly workClass: WorkClass;
    readonly startedAtMs: number;
    readonly costMs: number;
}

/** Gives the slots of one upstream to requests. All refusals happen before dispatch. */
export class UpstreamQueue {
    private readonly queues = { [WorkClass.Short]: new FairQueue(), [WorkClass.Long]: new FairQueue() };
    private readonly running = new Set<Running>();
    private readonly serviceTimes = new ServiceTimes();
    private reserveShort = 0;
    private drained = false;

    constructor(
        private readonly upstream: OwnedUpstream,
        private readonly clock: Clock,
        private readonly timers: Timers,
    ) {}

    /** Waits for a slot. The result is a failure with outcome not-executed when the request never got one. */
    async add(request: OwnerRequest): Promise<Result<QueuedRequest, Failure>> {
        const nowMs = this.clock.getMonotonicMs();
        const limits = request.service.limits;
        this.reserveShort = limits.reserveShort;
        const costMs = this.serviceTimes.getMeanMs(request.route, nowMs);
        const estimatedWaitMs = this.computeArrivalWaitMs(request, costMs, nowMs);
        const code = this.checkArrival(request, limits, nowMs, estimatedWaitMs + costMs);
        if (code !== Code.Ok) {
            return this.refuse(code);
        }
        return new Promise(resolve => {
            this.addEntry({ request, queuedAtMs: nowMs, costMs, estimatedWaitMs, resolve });
        });
    }

    /** Refuses all work that has no slot, now and later. */
    drain(): void {
        this.drained = true;
        for (const queue of Object.values(this.queues)) {
            for (const entry of queue.list()) {
                queue.remove(entry);
                entry.resolve(this.refuse(Code.OwnerLeaving));
            }
        }
    }

    getState(): QueueState {
        const nowMs = this.clock.getMonotonicMs();
        return {
            upstreamId: this.upstream.id,
            slots: this.upstream.slots,
            running: this.running.size,
            queuedShort: this.queues.short.count(),
            queuedLong: this.queues.long.count(),
            waitShortMs: this.computeWaitMs(WorkClass.Short, this.queues.short.getWorkMs(), nowMs),
            waitLongMs: this.computeWaitMs(WorkClass.Long, this.queues.long.getWorkMs(), nowMs),
        };
    }

    private checkArrival(
        request: OwnerRequest,
        limits: LimitsConfig,
        nowMs: number,
        estimatedMs: number,
    ): Code {
        if (this.drained) {
            return Code.OwnerLeaving;
        }
        if (request.signal.aborted) {
            return Code.CallerCancelled;
        }
        if (nowMs >= request.deadlineMs) {
            return Code.DeadlineExceeded;
        }
        if (nowMs + estimatedMs > request.deadlineMs) {
            return Code.WaitTooLong;
        }
        if (this.queues.short.count() + this.queues.long.count() >= limits.queueLength) {
            return Code.QueueFull;
        }
        return Code.Ok;
    }

    private addEntry(arrived: QueueEntry): void {
        const { request } = arrived;
        const queue = this.queues[request.route.workClass];
        const cancel = (code: Code): void => {
            if (queue.remove(entry)) {
                entry.resolve(this.refuse(code));
            }
        };
        const handleAbort = (): void => cancel(Code.CallerCancelled);
        const timer = this.timers.start(
            request.deadlineMs - arrived.queuedAtMs,
            () => cancel(Code.DeadlineExceeded),
        );
        const entry: QueueEntry = {
            ...arrived,
            resolve: result => {
                timer.close();
                request.signal.removeEventListener("abort", handleAbort);
                arrived.resolve(result);
            },
        };
        request.signal.addEventListener("abort", handleAbort);
        queue.add(entry);
        this.startNext();
    }

    private startNext(): void {
        for (let entry = this.takeNext(); entry !== undefined; entry = this.takeNext()) {
            const nowMs = this.clock.getMonotonicMs();
            if (nowMs >= entry.request.deadlineMs) {
                entry.resolve(this.refuse(Code.DeadlineExceeded));
                continue;
            }
            const lease = this.createLease(entry, nowMs);
            entry.resolve(ok({ ...entry.request, lease, waitMs: nowMs - entry.queuedAtMs }));
        }
    }

    private takeNext(): QueueEntry | undefined {
        if (this.running.size >= this.upstream.slots) {
            return undefined;
        }
        const longSlots = this.getLongSlots();
        return this.queues.short.take()
            ?? (this.countRunning(WorkClass.Long) < longSlots ? this.queues.long.take() : undefined);
    }

    private createLease(entry: QueueEntry, nowMs: number): SlotLease {
        const { route } = entry.request;
        const running = { workClass: route.workClass, startedAtMs: nowMs, costMs: entry.costMs };
        this.running.add(running);
        return {
            close: serviceMs => {
                if (!this.running.delete(running)) {
                    return;
                }
                if (serviceMs !== undefined) {
                    this.serviceTimes.record(route, serviceMs, this.clock.getMonotonicMs());
                }
                this.startNext();
            },
        };
    }

    private computeArrivalWaitMs(request: OwnerRequest, costMs: number, nowMs: number): number {
        const { workClass } = request.route;
        const aheadMs = this.queues[workClass].computeWorkAheadMs(request.organisation, costMs);
        return this.computeWaitMs(workClass, aheadMs, nowMs);
    }

    /** Expected wait in milliseconds behind `aheadMs` of queued work and the running work. */
    private computeWaitMs(workClass: WorkClass, aheadMs: number, nowMs: number): number {
        const running = [...this.running].filter(entry => entry.workClass === workClass);
        const others = this.running.size - running.length;
        const slots = workClass === WorkClass.Long
            ? Math.min(this.getLongSlots(), this.upstream.slots - others)
            : this.upstream.slots - others;
        if (running.length < slots && aheadMs === 0) {
            return 0;
        }
        const restMs = running.reduce(
            (sum, entry) => sum + Math.max(0, entry.startedAtMs + entry.costMs - nowMs),
            0,
        );
        return (restMs + aheadMs) / Math.max(1, slots);
    }

    /** Slots that long work may use. At least one slot stays usable for long work so that it cannot starve. */
    private getLongSlots(): number {
        return Math.max(1, this.upstream.slots - this.reserveShort);
    }

    private countRunning(workClass: WorkClass): number {
        let count = 0;
        for (const entry of this.running) {
            count += entry.workClass === workClass ? 1 : 0;
        }
        return count;
    }

    private refuse(code: Code): Result<QueuedRequest, Failure> {
        return err(createFailure(code, { outcome: Outcome.NotExecuted }));
    }
}
