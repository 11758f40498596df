/**
 * Watches one document of the platform while this daemon is a reader.
 *
 * The watch follows the versions of the platform even below the version in force. A platform that serves
 * stale data or was restored from a backup is therefore detected and reported, and its older versions change
 * nothing.
 *
 * @example
 * ```ts
 * const watch = new DocumentWatch(source, { role, clock, timers, random, logger, metrics });
 * watch.start();
 * watch.close();
 * ```
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Timer } from "../core/timer.ts";
import type { DocumentWatchOptions } from "./document_watch_options.ts";
import type { WatchSource } from "./watch_source.ts";

/** Failures after which the version is read again; after all others it counts as seen. */
const retryableCodes: readonly Code[] = [Code.PlatformUnreachable, Code.PlatformBadValue];

/** Reads one document in a loop; each call has a time limit. */
export class DocumentWatch<Document extends { readonly version: number; }> {
    private seenVersion = 0;
    private failures = 0;
    private nextPollMs = 0;
    private closed = false;
    private timer: Timer | undefined;

    constructor(
        private readonly source: WatchSource<Document>,
        private readonly options: DocumentWatchOptions,
    ) {}

    start(): void {
        void this.run();
    }

    /** Ends the loop without waiting for a call in progress, whose result is ignored. */
    close(): void {
        this.closed = true;
        this.timer?.close();
    }

    private async run(): Promise<void> {
        while (!this.closed) {
            if (!this.options.role.isReader()) {
                this.seenVersion = 0;
                await this.waitMs(1_000);
                continue;
            }
            const delayMs = await this.runOnce();
            if (delayMs > 0) {
                await this.waitMs(delayMs);
            }
        }
    }

    /** Makes one call and returns the delay before the next in milliseconds. */
    private async runOnce(): Promise<number> {
        const startMs = this.options.clock.getMonotonicMs();
        const isPoll = startMs >= this.nextPollMs;
        const watchMs = this.options.watchMs ?? 8_000;
        const result = await this.fetch(isPoll ? 0 : this.seenVersion, isPoll ? 0 : watchMs);
        if (this.closed) {
            return 0;
        }
        this.options.role.recordRead(result.isOk());
        if (result.isErr()) {
            return this.handleFailure(result.error);
        }
        if (isPoll) {
            this.nextPollMs = startMs + (this.options.pollIntervalMs ?? 8_000);
        }
        const document = result.value;
        if (document === undefined) {
            this.failures = 0;
            const elapsedMs = this.options.clock.getMonotonicMs() - startMs;
            // Delays the next call when the platform answers a watch immediately without a change.
            return isPoll || elapsedMs >= watchMs / 2 ? 0 : this.computeBackoff(1);
        }
        const applied = await this.source.apply(document);
        if (applied.isErr() && retryableCodes.includes(applied.error.code)) {
            return this.handleFailure(applied.error);
        }
        const isRepeated = !isPoll && document.version === this.seenVersion;
        this.seenVersion = document.version;
        this.failures = 0;
        return isRepeated ? this.computeBackoff(1) : 0;
    }

    private fetch(afterVersion: number, waitMs: number): Promise<Result<Document | undefined, Failure>> {
        this.options.metrics.addCount("platform.reads", { document: this.source.name });
        return new Promise(resolve => {
            const timer = this.options.timers.start(waitMs + (this.options.callTimeoutMs ?? 2_000), () => {
                resolve(
                    err(createFailure(Code.PlatformUnreachable, {
                        detail: "the call to the platform timed out",
                    })),
                );
            });
            void this.source.fetch(afterVersion, waitMs).then(result => {
                timer.close();
                resolve(result);
            });
        });
    }

    private handleFailure(failure: Failure): number {
        this.failures += 1;
        this.options.metrics.addCount("platform.failures", {
            document: this.source.name,
            code: `${failure.code}`,
        });
        if (this.failures === 1) {
            const { code, detail } = failure;
            this.options.logger.write(LogLevel.Warn, "platform_failed", {
                document: this.source.name,
                code,
                detail,
            });
        }
        return this.computeBackoff(this.failures);
    }

    /** Exponential back-off with jitter between half and all of the delay, so that readers do not align. */
    private computeBackoff(failures: number): number {
        const { backoffMinMs = 250, backoffMaxMs = 5_000 } = this.options;
        const delayMs = Math.min(backoffMaxMs, backoffMinMs * 2 ** Math.min(failures - 1, 16));
        return delayMs * (0.5 + this.options.random.getFloat() / 2);
    }

    private waitMs(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.timer = this.options.timers.start(delayMs, resolve);
        });
    }
}
