/**
 * Queue of one work class in order of priority; fair between organisations within a priority.
 *
 * @example
 * ```ts
 * const queue = new PriorityQueue();
 * queue.add(entry);
 * const next = queue.take();
 * ```
 *
 * @module
 */
import { FairQueue } from "./fair_queue.ts";
import type { OwnerRequest } from "./owner_request.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** Serves the most urgent priority first, 0 before 1. */
export class PriorityQueue {
    private readonly queuesByPriority = new Map<number, FairQueue>();

    add(entry: QueueEntry): void {
        this.getQueue(entry.request.route.priority).add(entry);
    }

    /** Removes and returns the next entry to be served. */
    take(): QueueEntry | undefined {
        return this.queuesByPriority.get(this.getFirstPriority() ?? -1)?.take();
    }

    /** Priority of the next entry; undefined when the queue is empty. */
    getFirstPriority(): number | undefined {
        let first: number | undefined;
        for (const [priority, queue] of this.queuesByPriority) {
            if (queue.count() > 0 && (first === undefined || priority < first)) {
                first = priority;
            }
        }
        return first;
    }

    /**
     * Evicts an entry to make room for the request: one of the least urgent priority below that of the
     * request, or else the newest entry of the organisation with the most queued work of the same priority.
     */
    evictFor({ organisation, route }: OwnerRequest): QueueEntry | undefined {
        const lower = [...this.queuesByPriority].filter(([priority]) => priority > route.priority)
            .sort(([left], [right]) => right - left);
        for (const [, queue] of lower) {
            const last = queue.list().at(-1);
            if (last !== undefined) {
                queue.remove(last);
                return last;
            }
        }
        return this.getQueue(route.priority).evictFromLargest(organisation);
    }

    /**
     * Evicts the entries that more urgent arrivals have displaced so far that they cannot end by their deadline.
     *
     * Load: a burst of urgent requests beside a full queue of less urgent ones, which were admitted before it.
     * The work ahead of an entry is a lower bound, because other organisations of its priority do not count.
     */
    evictUnservable(computeWaitMs: (aheadMs: number) => number, nowMs: number): readonly QueueEntry[] {
        const evicted: QueueEntry[] = [];
        let moreUrgentMs = 0;
        for (const priority of [...this.queuesByPriority.keys()].sort((left, right) => left - right)) {
            const queue = this.getQueue(priority);
            const aheadMsByOrganisation = new Map<string, number>();
            for (const entry of queue.list()) {
                const { deadlineMs, organisation } = entry.request;
                const aheadMs = aheadMsByOrganisation.get(organisation) ?? moreUrgentMs;
                if (aheadMs > 0 && nowMs + computeWaitMs(aheadMs) + entry.costMs > deadlineMs) {
                    queue.remove(entry);
                    evicted.push(entry);
                }
                else {
                    aheadMsByOrganisation.set(organisation, aheadMs + entry.costMs);
                }
            }
            moreUrgentMs += queue.getWorkMs();
        }
        return evicted;
    }

    /** False when the entry is not in the queue. */
    remove(entry: QueueEntry): boolean {
        return this.getQueue(entry.request.route.priority).remove(entry);
    }

    list(): readonly QueueEntry[] {
        return [...this.queuesByPriority.values()].flatMap(queue => queue.list());
    }

    count(): number {
        return this.computeSum(queue => queue.count());
    }

    countOrganisation(organisation: string): number {
        return this.computeSum(queue => queue.countOrganisation(organisation));
    }

    /** Sum of the expected service times of all queued requests, in milliseconds. */
    getWorkMs(): number {
        return this.computeSum(queue => queue.getWorkMs());
    }

    /** Expected service time in milliseconds of the queued work that is served before a new request. */
    computeWorkAheadMs({ organisation, route }: OwnerRequest, costMs: number): number {
        let aheadMs = this.getQueue(route.priority).computeWorkAheadMs(organisation, costMs);
        for (const [priority, queue] of this.queuesByPriority) {
            aheadMs += priority < route.priority ? queue.getWorkMs() : 0;
        }
        return aheadMs;
    }

    private getQueue(priority: number): FairQueue {
        let queue = this.queuesByPriority.get(priority);
        if (queue === undefined) {
            queue = new FairQueue();
            this.queuesByPriority.set(priority, queue);
        }
        return queue;
    }

    private computeSum(getValue: (queue: FairQueue) => number): number {
        let sum = 0;
        for (const queue of this.queuesByPriority.values()) {
            sum += getValue(queue);
        }
        return sum;
    }
}
