/**
 * One call to the platform's store at a time. Its limits tell a slow link from a dead one: a call ends when no byte
 * arrives for a while, and not because its answer is long.
 *
 * @example
 * ```ts
 * const call = new StoreCall({ timers, metrics, handleBytes });
 * const page = await call.run(options => store.fetchAll(options), { responseMs: 600, maxBytes: Infinity });
 * ```
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { StoreCallOptions } from "./store_call_options.ts";
import type { StorePage } from "./store_page.ts";

interface Options {
    readonly timers: Timers;
    readonly metrics: Metrics;
    /** Called with the bytes of the answer that have arrived, each time that there are more. */
    readonly handleBytes: (bytes: number) => void;
}

interface Limits {
    /** Milliseconds until the first byte of the answer. */
    readonly responseMs: number;
    /** Most bytes of the answer; beyond them the call fails with PlatformHistoryGone, so that all values are read. */
    readonly maxBytes: number;
}

/**
 * Milliseconds without a byte after which an answer that has begun counts as silent. Two lost packets in a row delay
 * the next byte by 0.6 s.
 */
const silenceMs = 1_000;
/**
 * Milliseconds in which an answer must be complete from its first byte on. The largest value, 1.4 MB in base64, takes
 * 1.6 s on a link of 7 Mbit/s; the rest is for the other traffic of the link.
 */
const transferMs = 5_000;

/** Runs a call with its limits; `cancel` ends it early. */
export class StoreCall {
    private cancelCall: (failure: Failure) => void = () => undefined;
    private receivedBytes = 0;
    private running = false;

    constructor(private readonly options: Options) {}

    async run(
        start: (options: StoreCallOptions) => Promise<Result<StorePage, Failure>>,
        limits: Limits,
    ): Promise<Result<StorePage, Failure>> {
        this.options.metrics.addCount("platform.reads", { document: "store" });
        this.receivedBytes = 0;
        this.running = true;
        const result = await this.runWithLimits(start, limits);
        this.running = false;
        return result;
    }

    /** Ends the call in progress as if the store were unreachable. */
    cancel(detail: string): void {
        this.cancelCall(createFailure(Code.PlatformUnreachable, { detail }));
    }

    /** True while a part of the answer has arrived and the rest is on its way. */
    isReceiving(): boolean {
        return this.running && this.receivedBytes > 0;
    }

    private runWithLimits(
        start: (options: StoreCallOptions) => Promise<Result<StorePage, Failure>>,
        { maxBytes, responseMs }: Limits,
    ): Promise<Result<StorePage, Failure>> {
        const { handleBytes, timers } = this.options;
        const controller = new AbortController();
        let transferTimer: Timer | undefined;
        return new Promise(resolve => {
            let hasEnded = false;
            const recordEnd = (result: Result<StorePage, Failure>): void => {
                hasEnded = true;
                silenceTimer.close();
                transferTimer?.close();
                resolve(result);
            };
            const cancelCall = (failure: Failure): void => {
                recordEnd(err(failure));
                controller.abort();
            };
            let silenceTimer = timers.start(
                responseMs,
                () => this.cancel("the call to the platform timed out"),
            );
            this.cancelCall = cancelCall;
            const recordBytes = (bytes: number): void => {
                if (hasEnded || bytes <= this.receivedBytes) {
                    return;
                }
                this.receivedBytes = bytes;
                silenceTimer.close();
                silenceTimer = timers.start(
                    silenceMs,
                    () => this.cancel("the answer of the platform stopped"),
                );
                transferTimer ??= timers.start(
                    transferMs,
                    () => this.cancel("the answer of the platform took too long"),
                );
                if (bytes > maxBytes) {
                    const detail = `the changes have more than ${maxBytes} bytes`;
                    cancelCall(createFailure(Code.PlatformHistoryGone, { detail }));
                    return;
                }
                handleBytes(bytes);
            };
            void start({ signal: controller.signal, handleBytes: recordBytes }).then(recordEnd);
        });
    }
}
