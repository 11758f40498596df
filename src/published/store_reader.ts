/**
 * Reads the platform's store: one call at a time, with limits on its silence and size, probes during a watch, and the
 * delay before the next call after a failure.
 *
 * @example
 * ```ts
 * const reader = new StoreReader({ store, contact, clock, timers, random, logger, metrics });
 * const answer = await reader.read({ afterRevision, waitMs: 2_200, isFallback: false });
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { AnsweredCall } from "./answered_call.ts";
import { ChangesSizeLimit } from "./changes_size_limit.ts";
import { checkContinuation } from "./check_continuation.ts";
import { compareRevisions } from "./compare_revisions.ts";
import { computeHeldMs } from "./compute_held_ms.ts";
import { maxSharedLength } from "./max_shared_length.ts";
import type { PlatformStore } from "./platform_store.ts";
import type { StoreAnswer } from "./store_answer.ts";
import { StoreCall } from "./store_call.ts";
import type { StoreContact } from "./store_contact.ts";
import { StoreOutage } from "./store_outage.ts";
import type { StorePage } from "./store_page.ts";
import { StoreProbe } from "./store_probe.ts";
import type { StoreRead } from "./store_read.ts";
import type { StoreRevision } from "./store_revision.ts";

interface Options {
    readonly store: PlatformStore;
    readonly contact: StoreContact;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Called when a probe has reached the store. */
    readonly handleContact: () => void;
    /** Called when the changes that arrive are too large to be passed on, before the rest of them has arrived. */
    readonly handleLargeChange: () => void;
    /**
     * Called with the monotonic milliseconds of the first answer of the store after an outage in which entries of
     * live upstreams can have expired.
     */
    readonly handleRecovery: (answeredMs: number) => void;
}

/** A call that brought no page. */
interface FailedRead {
    /**
     * True when the changes since the revision are gone, or when a watch delivers nothing, so that all values
     * must be read.
     */
    readonly mustReadAll: boolean;
    /** Milliseconds to wait before the next call. */
    readonly delayMs: number;
}

/** Milliseconds in which an answer must begin, in addition to the time that the store waits for a change. */
const responseMs = 2_000;
/**
 * The same for a read of a daemon that does not watch the store. Other daemons may wait for its result, and the
 * store answers in milliseconds.
 */
const fallbackResponseMs = 600;
/** Milliseconds that the store may wait for a change in a call that asks for an answer at once. */
const pollMs = 1;
/**
 * Milliseconds in which the answer to such a call must begin. The end of an outage is noticed later by as much, and a
 * slow store answers in up to 400 ms.
 */
const pollResponseMs = 1_000;
/** Milliseconds in which a watch must deliver a change that a probe has found. */
const deliveryMs = 200;
/**
 * Milliseconds after its wait in which a watch must end. Its connection counts as silent then; the store needs
 * 4 ms for an answer and up to 400 ms when it is slow.
 */
const overdueMs = 500;
/** Shortest watch in milliseconds during which the store is probed. */
const minProbedWatchMs = 1_000;

/** Makes the calls of one daemon. */
export class StoreReader {
    private readonly call: StoreCall;
    private readonly sizeLimit = new ChangesSizeLimit();
    private readonly outage = new StoreOutage();
    /** Revision from which the current call reads; undefined when it reads all values. */
    private afterRevision: StoreRevision | undefined;
    /** True when the current or latest call has brought more changes than can be passed on. */
    private isLargeChange = false;
    /** Monotonic milliseconds at which the first and the latest byte of the current answer arrived. */
    private firstByteMs: number | undefined;
    private lastByteMs: number | undefined;
    /** True when the call was aborted because the watch is stale while the store serves other daemons. */
    private isWatchStale = false;
    /** True when a probe found that the pending watch delivers nothing. */
    private mustReadAll = false;
    /** True after a call without an answer to it: the next call asks for one at once. */
    private mustPoll = false;
    /** Start of the first call since the last answer, in monotonic milliseconds; undefined when there was none. */
    private unansweredSinceMs: number | undefined;
    private deliveryTimer: Timer | undefined;
    private overdueTimer: Timer | undefined;

    constructor(private readonly options: Options) {
        this.call = new StoreCall({ ...options, handleBytes: bytes => this.recordBytes(bytes) });
    }

    /**
     * Reads all values, or the changes after a revision. After a failed call the store is not asked to wait: a watch
     * ends with the next change, which tells neither whether its connection works nor when an outage ended.
     */
    async read({ afterRevision, isFallback, waitMs }: StoreRead): Promise<Result<StoreAnswer, FailedRead>> {
        const { clock, contact, store } = this.options;
        this.afterRevision = afterRevision;
        this.isLargeChange = false;
        this.firstByteMs = undefined;
        this.lastByteMs = undefined;
        this.isWatchStale = false;
        this.mustReadAll = false;
        const startMs = clock.getMonotonicMs();
        this.unansweredSinceMs ??= startMs;
        const callWaitMs = this.mustPoll ? Math.min(waitMs, pollMs) : waitMs;
        const limitMs = callWaitMs + this.getResponseMs(isFallback);
        const probe = new StoreProbe({ ...this.options, handleRevision: found => this.recordProbe(found) });
        if (callWaitMs >= minProbedWatchMs) {
            probe.start(contact.getAgeMs(startMs));
            this.startOverdueTimer(callWaitMs);
        }
        const result = await this.call.run(
            options =>
                afterRevision === undefined
                    ? store.fetchAll(options)
                    : store.watch(afterRevision, callWaitMs, options).then(watched =>
                        watched.andThen(page => checkContinuation(page, afterRevision))
                    ),
            {
                responseMs: limitMs,
                maxBytes: afterRevision === undefined ? Infinity : this.sizeLimit.getMaxBytes(),
            },
        );
        probe.close();
        this.deliveryTimer?.close();
        this.deliveryTimer = undefined;
        this.overdueTimer?.close();
        const endMs = clock.getMonotonicMs();
        if (result.isErr()) {
            return err(this.recordFailure(result.error, startMs, limitMs));
        }
        this.sizeLimit.recordPage(result.value, afterRevision === undefined);
        this.mustPoll = false;
        this.unansweredSinceMs = undefined;
        const call = { startMs, waitMs: callWaitMs, endMs };
        this.recordContact(result.value, call);
        this.recordBack(endMs);
        return ok({
            page: result.value,
            heldMs: computeHeldMs(result.value, afterRevision, call),
            transferMs: endMs - (this.firstByteMs ?? endMs),
        });
    }

    /** True while changes arrive that are too large to be passed on. */
    isReadingLargeChange(): boolean {
        return this.isLargeChange && this.call.isReceiving();
    }

    /** Ends a watch that delivers nothing although the store has a newer revision. */
    cancelStaleWatch({ era, revision }: StoreRevision): void {
        this.cancelSilentWatch(`the watch is stale: the store has revision ${revision} of era ${era}`);
    }

    /** A watch whose answer arrives is not stale; on a slow link the rest of a large change takes seconds. */
    private cancelSilentWatch(detail: string): void {
        if (!this.call.isReceiving()) {
            this.isWatchStale = true;
            this.call.cancel(detail);
        }
    }

    private recordBytes(bytes: number): void {
        const nowMs = this.options.clock.getMonotonicMs();
        this.firstByteMs ??= nowMs;
        this.lastByteMs = nowMs;
        if (!this.isLargeChange && this.afterRevision !== undefined && bytes > maxSharedLength) {
            this.isLargeChange = true;
            this.options.handleLargeChange();
        }
    }

    /** Records that the store answered a daemon of the failure domain, which ends an outage before that moment. */
    recordAnswer(answeredMs: number): void {
        if (this.outage.recordAnswer(answeredMs)) {
            this.options.handleRecovery(answeredMs);
        }
    }

    private recordBack(nowMs: number): void {
        const failures = this.outage.takeFailures();
        if (failures > 0) {
            this.options.logger.write(LogLevel.Info, "platform_back", { failures });
        }
        this.recordAnswer(nowMs);
    }

    /** Milliseconds in which the answer must begin, in addition to the wait of the store. */
    private getResponseMs(isFallback: boolean): number {
        if (isFallback) {
            return fallbackResponseMs;
        }
        return this.mustPoll && this.afterRevision !== undefined ? pollResponseMs : responseMs;
    }

    /**
     * An answer holds for some moment of its call. A watch that waited in vain held until the end of its wait; one
     * that brings changes was answered because of them.
     */
    private recordContact(page: StorePage, { startMs, waitMs, endMs }: AnsweredCall): void {
        const isWatch = this.afterRevision !== undefined && waitMs >= minProbedWatchMs;
        const heldMs = page.changes.length > 0 ? endMs : Math.min(endMs, startMs + waitMs);
        this.options.contact.record(isWatch ? heldMs : startMs);
    }

    /**
     * The answer to a probe may describe an older state, so it confirms the path to the store and not that the
     * watch delivers. Only a watch that ends in time shows that.
     */
    private startOverdueTimer(waitMs: number): void {
        this.overdueTimer = this.options.timers.start(waitMs + overdueMs, () => {
            this.cancelSilentWatch("the watch did not end after its wait");
        });
    }

    /**
     * A probe that finds a newer revision shows that the pending watch delivers nothing, unless its answer is on
     * the way. Such a probe is no contact, because this daemon lacks a change.
     */
    private recordProbe(revision: StoreRevision): void {
        const { clock, contact, handleContact, timers } = this.options;
        if (this.afterRevision === undefined || compareRevisions(revision, this.afterRevision) <= 0) {
            contact.record(clock.getMonotonicMs());
            handleContact();
            return;
        }
        this.deliveryTimer ??= timers.start(deliveryMs, () => {
            this.mustReadAll = true;
            this.cancelStaleWatch(revision);
        });
    }

    private recordFailure({ code, detail }: Failure, startMs: number, limitMs: number): FailedRead {
        const { clock, logger, metrics, random } = this.options;
        this.mustPoll = true;
        metrics.addCount("platform.failures", { document: "store", code: `${code}` });
        if (this.isWatchStale) {
            // The store serves other daemons, so no entry can have expired by an outage.
            logger.write(LogLevel.Warn, "platform_silent", { code, detail });
            return { mustReadAll: this.mustReadAll, delayMs: 0 };
        }
        if (code === Code.PlatformHistoryGone) {
            logger.write(LogLevel.Info, "platform_reads_all", { detail });
            return { mustReadAll: true, delayMs: 0 };
        }
        const endMs = clock.getMonotonicMs();
        // The store was reached until its last byte. A watch without an answer may have been the first call of the outage.
        const unansweredSinceMs = this.lastByteMs ?? this.unansweredSinceMs ?? startMs;
        this.unansweredSinceMs = unansweredSinceMs;
        const timedOut = this.lastByteMs !== undefined || endMs - startMs >= limitMs
            || unansweredSinceMs < startMs;
        if (this.outage.recordFailure({ startMs: unansweredSinceMs, endMs, timedOut })) {
            logger.write(LogLevel.Warn, "platform_failed", { code, detail });
        }
        // The same changes would take as long again, and all values are never longer than their history.
        return { mustReadAll: this.isLargeChange, delayMs: this.outage.computeDelayMs(random.getFloat()) };
    }
}
