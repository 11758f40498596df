/**
 * Queue of one work class in order of priority; fair between organisations within a priority.
 *
 * @example
 * ```ts
 * const queue = new RankedQueue();
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
export class RankedQueue {
    private readonly ranks = new Map<number, FairQueue>();

    add(entry: QueueEntry): void {
        this.getRank(entry.request.route.priority).add(entry);
    }

    /** Removes the next entry in order of service. */
    take(): QueueEntry | undefined {
        return this.ranks.get(this.getFirstPriority() ?? -1)?.take();
    }

    /** Priority of the next entry; undefined when nothing waits. */
    getFirstPriority(): number | undefined {
        let first: number | undefined;
        for (const [priority, queue] of this.ranks) {
            if (queue.count() > 0 && (first === undefined || priority < first)) {
                first = priority;
            }
        }
        return first;
    }

    /**
     * Removes an entry to make room for the request: of the least urgent priority below its own, or else the newest one
     * of the organisation that holds the most of the same priority.
     */
    takeFor({ organisation, route }: OwnerRequest): QueueEntry | undefined {
        const lower = [...this.ranks].filter(([priority]) => priority > route.priority)
            .sort(([left], [right]) => right - left);
        for (const [, queue] of lower) {
            const last = queue.list().at(-1);
            if (last !== undefined) {
                queue.remove(last);
                return last;
            }
        }
        return this.getRank(route.priority).takeFromLargest(organisation);
    }

    /** False when the entry is not in the queue. */
    remove(entry: QueueEntry): boolean {
        return this.getRank(entry.request.route.priority).remove(entry);
    }

    list(): readonly QueueEntry[] {
        return [...this.ranks.values()].flatMap(queue => queue.list());
    }

    count(): number {
        return this.compute(queue => queue.count());
    }

    countOrganisation(organisation: string): number {
        return this.compute(queue => queue.countOrganisation(organisation));
    }

    /** Expected service time in milliseconds of all queued work. */
    getWorkMs(): number {
        return this.compute(queue => queue.getWorkMs());
    }

    /** Expected service time in milliseconds of the work that is served before a new request. */
    computeWorkAheadMs({ organisation, route }: OwnerRequest, costMs: number): number {
        let aheadMs = this.getRank(route.priority).computeWorkAheadMs(organisation, costMs);
        for (const [priority, queue] of this.ranks) {
            aheadMs += priority < route.priority ? queue.getWorkMs() : 0;
        }
        return aheadMs;
    }

    private getRank(priority: number): FairQueue {
        let queue = this.ranks.get(priority);
        if (queue === undefined) {
            queue = new FairQueue();
            this.ranks.set(priority, queue);
        }
        return queue;
    }

    private compute(measure: (queue: FairQueue) => number): number {
        let sum = 0;
        for (const queue of this.ranks.values()) {
            sum += measure(queue);
        }
        return sum;
    }
}
