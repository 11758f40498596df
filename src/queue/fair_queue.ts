/**
 * Queue of one work class that is fair between organisations.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * queue.add(entry);
 * const next = queue.take();
 * ```
 *
 * @module
 */
import type { QueueEntry } from "./queue_entry.ts";

interface OrganisationQueue {
    readonly entries: QueueEntry[];
    queuedMs: number;
    deficitMs: number;
    /** False until the organisation has received its quantum of the current round. */
    hasQuantum: boolean;
}

/**
 * Deficit round robin (Shreedhar and Varghese, "Efficient Fair Queuing Using Deficit Round Robin", 1995) with
 * the expected service time as cost. Keeps state only for organisations with queued work.
 */
export class FairQueue {
    /** Organisations with queued work in round-robin order; the first one is served next. */
    private readonly active = new Map<string, OrganisationQueue>();
    private quantumMs = 0;
    private queued = 0;
    private workMs = 0;

    add(entry: QueueEntry): void {
        const organisation = entry.request.organisation;
        const queue = this.active.get(organisation)
            ?? { entries: [], queuedMs: 0, deficitMs: 0, hasQuantum: false };
        queue.entries.push(entry);
        queue.queuedMs += entry.costMs;
        this.active.set(organisation, queue);
        this.queued += 1;
        this.workMs += entry.costMs;
        // A quantum of at least the largest cost lets each turn start one request (section 3 of the paper).
        this.quantumMs = Math.max(this.quantumMs, entry.costMs);
    }

    /** Removes and returns the next entry to be served. */
    take(): QueueEntry | undefined {
        for (const [organisation, queue] of this.active) {
            if (!queue.hasQuantum) {
                queue.hasQuantum = true;
                queue.deficitMs += this.quantumMs;
            }
            const entry = queue.entries[0]!;
            if (entry.costMs <= queue.deficitMs) {
                queue.deficitMs -= entry.costMs;
                this.remove(entry);
                return entry;
            }
            queue.hasQuantum = false;
            this.active.delete(organisation);
            this.active.set(organisation, queue);
        }
        return undefined;
    }

    /**
     * Evicts the newest entry of the organisation with the most queued work, provided that it has at least
     * two entries more than the given organisation (buffer stealing: McKenney, "Stochastic Fairness
     * Queueing", 1990).
     */
    evictFromLargest(organisation: string): QueueEntry | undefined {
        let largest: OrganisationQueue | undefined;
        for (const queue of this.active.values()) {
            largest = largest === undefined || queue.queuedMs > largest.queuedMs ? queue : largest;
        }
        if (largest === undefined || largest.entries.length < this.countOrganisation(organisation) + 2) {
            return undefined;
        }
        const entry = largest.entries.at(-1)!;
        this.remove(entry);
        return entry;
    }

    /** False when the entry is not in the queue. */
    remove(entry: QueueEntry): boolean {
        const organisation = entry.request.organisation;
        const queue = this.active.get(organisation);
        const index = queue?.entries.indexOf(entry) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.entries.splice(index, 1);
        queue.queuedMs -= entry.costMs;
        this.queued -= 1;
        this.workMs -= entry.costMs;
        if (queue.entries.length === 0) {
            this.active.delete(organisation);
        }
        if (this.queued === 0) {
            this.quantumMs = 0;
            this.workMs = 0;
        }
        return true;
    }

    list(): readonly QueueEntry[] {
        return [...this.active.values()].flatMap(queue => queue.entries);
    }

    count(): number {
        return this.queued;
    }

    countOrganisation(organisation: string): number {
        return this.active.get(organisation)?.entries.length ?? 0;
    }

    /** Number of organisations for which state is kept. */
    countOrganisations(): number {
        return this.active.size;
    }

    /** Sum of the expected service times of all queued requests, in milliseconds. */
    getWorkMs(): number {
        return this.workMs;
    }

    /**
     * Expected service time in milliseconds of the queued work that is served before a new request of the
     * organisation.
     */
    computeWorkAheadMs(organisation: string, costMs: number): number {
        const ownMs = this.active.get(organisation)?.queuedMs ?? 0;
        let aheadMs = 0;
        for (const [other, queue] of this.active) {
            aheadMs += other === organisation ? ownMs : Math.min(queue.queuedMs, ownMs + costMs);
        }
        return aheadMs;
    }
}
