/**
 * Confirms, while a watch is pending, that the platform's store can be reached. A pending watch alone cannot be
 * distinguished from a connection that delivers nothing any more.
 *
 * @example
 * ```ts
 * const probe = new StoreProbe({ store, timers, metrics, handleRevision });
 * probe.start(0);
 * probe.close();
 * ```
 *
 * @module
 */
import type { Metrics } from "../core/metrics.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { PlatformStore } from "./platform_store.ts";
import type { StoreRevision } from "./store_revision.ts";

interface Options {
    readonly store: PlatformStore;
    readonly timers: Timers;
    readonly metrics: Metrics;
    /** Called with the revision of each answer; it can be some seconds old. */
    readonly handleRevision: (revision: StoreRevision) => void;
}

/** Milliseconds between two probes. The platform charges one a tenth of a call. */
const periodMs = 500;

/** Probes the store until it is closed. */
export class StoreProbe {
    private timer: Timer | undefined;
    private running = false;

    constructor(private readonly options: Options) {}

    /**
     * Probes a period after the last contact, whose age in milliseconds is given, so that a new watch does not delay
     * the next one.
     */
    start(contactAgeMs: number): void {
        this.running = true;
        const delayMs = Math.max(0, periodMs - contactAgeMs);
        this.timer = this.options.timers.start(delayMs, () => void this.fetchRevision());
    }

    /** Ends the probes; the answer to a pending one is ignored. */
    close(): void {
        this.running = false;
        this.timer?.close();
    }

    private async fetchRevision(): Promise<void> {
        const { handleRevision, metrics, store } = this.options;
        this.start(0);
        const revision = await store.fetchRevision();
        metrics.addCount("platform.probes", { failed: `${revision.isErr()}` });
        if (this.running && revision.isOk()) {
            handleRevision(revision.value);
        }
    }
}
