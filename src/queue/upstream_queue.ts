/**
 * Queue and slots of one upstream.
 *
 * @example
 * ```ts
 * const queue = new UpstreamQueue(upstream, { clock, timers });
 * const result = await queue.add(request);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import { WorkClass } from "../core/work_class.ts";
import { AdaptiveSlotLimit } from "./adaptive_slot_limit.ts";
import { checkStart } from "./check_start.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import { computeQueueLimit } from "./compute_queue_limit.ts";
import { computeTargetWait } from "./compute_target_wait.ts";
import { createCancellableEntry } from "./create_cancellable_entry.ts";
import { isOverShare } from "./is_over_share.ts";
import { isWaitRedirected } from "./is_wait_redirected.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { OwnerRequest } from "./owner_request.ts";
import { PriorityQueue } from "./priority_queue.ts";
import type { QueueEntry } from "./queue_entry.ts";
import type { QueueFilterOptions } from "./queue_filter_options.ts";
import type { QueueState } from "./queue_state.ts";
import { RunningRequests } from "./running_requests.ts";
import type { ScheduledRequest } from "./scheduled_request.ts";
import { ServiceTimes } from "./service_times.ts";
import type { ShedPolicy } from "./shed_policy.ts";
import type { SlotLimit } from "./slot_limit.ts";
import type { SlotPermit } from "./slot_permit.ts";
import { SlotReserve } from "./slot_reserve.ts";
import { SustainedWaitShedPolicy } from "./sustained_wait_shed_policy.ts";
import { WaitCorrection } from "./wait_correction.ts";

/** Assigns the slots of one upstream to requests. All refusals happen before dispatch. */
export class UpstreamQueue {
    private readonly queues = {
        [WorkClass.Short]: new PriorityQueue(),
        [WorkClass.Long]: new PriorityQueue(),
    };
    private readonly running = new RunningRequests();
    private readonly serviceTimes = new ServiceTimes();
    private readonly waitCorrection = new WaitCorrection();
    private readonly slotReserve = new SlotReserve();
    private readonly shedPolicies: Readonly<Record<WorkClass, ShedPolicy>>;
    private readonly slotLimit: SlotLimit;
    /** Slots reserved for short requests, as configured for the service. */
    private reserveShort = 0;
    /** True when a long request is next, because a short one took the previous shared slot. */
    private isLongNext = false;
    private isDraining = false;

    constructor(
        private readonly upstream: OwnedUpstream,
        private readonly options: Omit<QueueFilterOptions, "upstreams" | "daemonState">,
    ) {
        const createShed = options.createShedPolicy ?? (() => new SustainedWaitShedPolicy());
        this.shedPolicies = { [WorkClass.Short]: createShed(), [WorkClass.Long]: createShed() };
        this.slotLimit = options.createSlotLimit?.(upstream.slots) ?? new AdaptiveSlotLimit(upstream.slots);
    }

    /** Waits for a slot. The result is a failure with outcome not-executed when the request got none. */
    async add(request: OwnerRequest): Promise<Result<ScheduledRequest, Failure>> {
        const nowMs = this.options.clock.getMonotonicMs();
        this.reserveShort = request.service.limits.reserveShort;
        const costMs = this.serviceTimes.getMeanMs(request.route, nowMs);
        const estimatedWaitMs = this.computeArrivalWaitMs(request, costMs, nowMs);
        const neededMs = this.serviceTimes.computeNeededMs(request.route, Infinity, nowMs);
        this.slotReserve.record(request.route, { costMs, neededMs }, nowMs);
        const waitMs = this.waitCorrection.apply(estimatedWaitMs);
        const code = this.checkArrival(request, nowMs, waitMs);
        if (code !== Code.Ok) {
            return this.refuse(code, waitMs);
        }
        const { organisation, route } = request;
        const firstOfOrganisation = this.queues[route.workClass].countOrganisation(organisation) === 0;
        const estimates = { queuedAtMs: nowMs, costMs, estimatedWaitMs, firstOfOrganisation };
        return new Promise(resolve => this.addEntry({ request, ...estimates, resolve }));
    }

    /** Refuses all queued requests and all later ones. */
    drain(): void {
        this.isDraining = true;
        for (const queue of Object.values(this.queues)) {
            for (const entry of queue.list()) {
                queue.remove(entry);
                entry.resolve(this.refuse(Code.OwnerLeaving));
            }
        }
    }

    /** True when no request is queued or running. */
    isIdle(): boolean {
        return this.running.count() === 0 && Object.values(this.queues).every(queue => queue.count() === 0);
    }

    getState(): QueueState {
        const nowMs = this.options.clock.getMonotonicMs();
        const { short, long } = this.queues;
        const computeWait = (workClass: WorkClass) =>
            this.waitCorrection.apply(
                this.computeWaitMs(workClass, this.queues[workClass].getWorkMs(), nowMs),
            );
        return {
            upstreamId: this.upstream.id,
            slots: this.slotLimit.getSlots(nowMs),
            running: this.running.count(),
            queuedShort: short.count(),
            queuedLong: long.count(),
            waitShortMs: computeWait(WorkClass.Short),
            waitLongMs: computeWait(WorkClass.Long),
        };
    }

    private checkArrival(request: OwnerRequest, nowMs: number, waitMs: number): Code {
        if (this.isDraining) {
            return Code.OwnerLeaving;
        }
        if (request.signal.aborted) {
            return Code.CallerCancelled;
        }
        if (nowMs >= request.deadlineMs) {
            return Code.DeadlineExceeded;
        }
        if (this.isRedirected(request, nowMs, waitMs)) {
            return Code.RetryElsewhere;
        }
        return this.checkCapacity(request, nowMs, waitMs);
    }

    private checkCapacity(request: OwnerRequest, nowMs: number, waitMs: number): Code {
        const { deadlineMs, route, service } = request;
        const neededMs = this.serviceTimes.computeNeededMs(route, waitMs, nowMs);
        const serviceMs = this.serviceTimes.getMeanMs(route, nowMs);
        const maxWaitMs = computeMaxWait(request, {
            serviceMs,
            runningMeanMs: this.running.getMeanMs(),
            nowMs,
        });
        if (nowMs + waitMs + neededMs > deadlineMs || waitMs > maxWaitMs) {
            return Code.WaitTooLong;
        }
        const queue = this.queues[route.workClass];
        if (isOverShare(request, queue)) {
            return Code.OrganisationOverShare;
        }
        const targetMs = computeTargetWait(request, serviceMs);
        const isShed = this.shedPolicies[route.workClass].decideShedOnArrival(nowMs, waitMs, targetMs);
        if (isShed || queue.count() >= computeQueueLimit(service, route.workClass)) {
            const refusal = isShed ? Code.OwnerOverloaded : Code.QueueFull;
            return this.evictFor(request) ? Code.Ok : refusal;
        }
        return Code.Ok;
    }

    private isRedirected(request: OwnerRequest, nowMs: number, waitMs: number): boolean {
        const { redirectable, route } = request;
        return isWaitRedirected(request, waitMs, this.serviceTimes.getMeanMs(route, nowMs)) ||
            (redirectable === true && route.workClass === WorkClass.Short
                && this.isLastSlotReserved(route.priority, nowMs));
    }

    /** Evicts a queued request of the same class to make room; false when none may be evicted. */
    private evictFor(request: OwnerRequest): boolean {
        const entry = this.queues[request.route.workClass].evictFor(request);
        entry?.resolve(this.refuse(Code.OrganisationOverShare));
        return entry !== undefined;
    }

    private addEntry(arrival: QueueEntry): void {
        const queue = this.queues[arrival.request.route.workClass];
        const entry = createCancellableEntry(arrival, this.options.timers, code => {
            if (queue.remove(entry)) {
                entry.resolve(this.refuse(code));
            }
        });
        queue.add(entry);
        this.refuseUnservable(arrival.request.route.workClass);
        this.startNext();
    }

    private startNext(): void {
        for (let entry = this.takeNext(); entry !== undefined; entry = this.takeNext()) {
            const nowMs = this.options.clock.getMonotonicMs();
            const waitMs = nowMs - entry.queuedAtMs;
            if (entry.firstOfOrganisation) {
                this.waitCorrection.record(entry.estimatedWaitMs, waitMs);
            }
            const code = this.checkStart(entry.request, nowMs, waitMs);
            entry.resolve(
                code === Code.Ok
                    ? ok({ ...entry.request, permit: this.createPermit(entry.request, nowMs), waitMs })
                    : this.refuse(code),
            );
        }
    }

    private checkStart(request: OwnerRequest, nowMs: number, waitMs: number): Code {
        const serviceMs = this.serviceTimes.getMeanMs(request.route, nowMs);
        const targetMs = computeTargetWait(request, serviceMs);
        const isShed = this.shedPolicies[request.route.workClass].decideShedOnStart(nowMs, waitMs, targetMs);
        return checkStart(request, { nowMs, serviceMs, isShed });
    }

    /** Refuses queued requests at once that can no longer be served by their deadline. */
    private refuseUnservable(workClass: WorkClass): void {
        const nowMs = this.options.clock.getMonotonicMs();
        const computeWaitMs = (aheadMs: number) => this.computeWaitMs(workClass, aheadMs, nowMs);
        const queue = this.queues[workClass];
        for (const { resolve } of queue.evictUnservable(computeWaitMs, nowMs)) {
            resolve(this.refuse(Code.WaitTooLong, computeWaitMs(queue.getWorkMs())));
        }
    }

    /** Takes the next request that may use a slot. The classes alternate on slots that both can use. */
    private takeNext(): QueueEntry | undefined {
        const nowMs = this.options.clock.getMonotonicMs();
        const slots = this.slotLimit.getSlots(nowMs);
        if (this.running.count() >= slots) {
            return undefined;
        }
        const { short, long } = this.queues;
        const priority = Math.min(short.getFirstPriority() ?? Infinity, long.getFirstPriority() ?? Infinity);
        if (this.isLastSlotReserved(priority, nowMs)) {
            return undefined;
        }
        const longAllowed = long.count() > 0 &&
            this.running.countClass(WorkClass.Long) < this.computeLongSlots(slots);
        const entry = (longAllowed && (this.isLongNext || short.count() === 0) ? long : short).take();
        this.isLongNext = longAllowed && entry?.request.route.workClass === WorkClass.Short;
        return entry;
    }

    /** True when the only free slot is reserved for more urgent requests. */
    private isLastSlotReserved(priority: number, nowMs: number): boolean {
        const slots = this.slotLimit.getSlots(nowMs);
        return this.slotReserve.isReserved({ priority, slots, running: this.running, nowMs });
    }

    private createPermit(request: OwnerRequest, nowMs: number): SlotPermit {
        const { route } = request;
        const running = {
            workClass: route.workClass,
            startedAtMs: nowMs,
            meanMs: this.serviceTimes.getMeanMs(route, nowMs),
            deviationMs: this.serviceTimes.getDeviationMs(route, nowMs),
        };
        this.running.add(running);
        const slotsUsed = this.running.count();
        return {
            close: (serviceMs, shed = false) => {
                if (!this.running.remove(running)) {
                    return;
                }
                if (serviceMs !== undefined) {
                    this.recordEnd(request, serviceMs, shed, slotsUsed);
                }
                this.startNext();
            },
        };
    }

    private recordEnd({ route }: OwnerRequest, serviceMs: number, shed: boolean, slotsUsed: number): void {
        const nowMs = this.options.clock.getMonotonicMs();
        this.slotLimit.recordEnd(nowMs, slotsUsed, shed);
        // The duration of a shed request is no measurement of the service time of its route.
        if (!shed) {
            this.serviceTimes.record(route, serviceMs, nowMs);
        }
    }

    private computeArrivalWaitMs(request: OwnerRequest, costMs: number, nowMs: number): number {
        const aheadMs = this.queues[request.route.workClass].computeWorkAheadMs(request, costMs);
        return this.computeWaitMs(request.route.workClass, aheadMs, nowMs);
    }

    /** Expected wait in milliseconds behind `aheadMs` of queued work and the running requests. */
    private computeWaitMs(workClass: WorkClass, aheadMs: number, nowMs: number): number {
        const slots = this.slotLimit.getSlots(nowMs);
        return this.running.computeWaitMs(workClass, aheadMs, slots, this.computeLongSlots(slots), nowMs);
    }

    /** Slots that long requests may use: at least one, so that they cannot starve. */
    private computeLongSlots(slots: number): number {
        return Math.max(1, slots - this.reserveShort);
    }

    /** `retryAfterMs` is the expected time until a slot is free for such a request. */
    private refuse(code: Code, retryAfterMs?: number): Result<ScheduledRequest, Failure> {
        return err(createFailure(code, { outcome: Outcome.NotExecuted, retryAfterMs }));
    }
}
