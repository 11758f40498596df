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
        return this.findFirst()?.[1].take();
    }

    /** Priority of the next entry; undefined when nothing waits. */
    getFirstPriority(): number | undefined {
        return this.findFirst()?.[0];
    }

    /**
     * Removes an entry to make room for the request: of the least urgent priority below its own, or else the newest one
     * of the organisation that holds the most of the same priority.
     */
    takeFor({ organisation, route }: OwnerRequest): QueueEntry | undefined {
        const occupied = [...this.ranks].filter(([, queue]) => queue.count() > 0);
        const lower = occupied.filter(([priority]) => priority > route.priority);
        const last = lower.sort(([left], [right]) => right - left)[0]?.[1].list().at(-1);
        if (last !== undefined) {
            this.remove(last);
            return last;
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

    private findFirst(): readonly [number, FairQueue] | undefined {
        let first: readonly [number, FairQueue] | undefined;
        for (const rank of this.ranks) {
            if (rank[1].count() > 0 && (first === undefined || rank[0] < first[0])) {
                first = rank;
            }
        }
        return first;
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
        let total = 0;
        for (const queue of this.ranks.values()) {
            total += measure(queue);
        }
        return total;
    }
}
