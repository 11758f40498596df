/**
 * Watches one document of the platform for as long as this daemon is a reader.
 *
 * The watch follows the versions of the platform, also below the version in force: a platform that serves stale
 * data or was restored from a backup is noticed and reported, and changes nothing.
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

/** Codes of failures that a later read can cure; after all others the version counts as seen. */
const retryCodes: readonly Code[] = [Code.PlatformUnreachable, Code.PlatformBadValue];

/** Loop of reads, each with a bounded time. */
export class DocumentWatch<Document extends { readonly version: number; }> {
    private seenVersion = 0;
    private failures = 0;
    private nextCheckMs = 0;
    private closed = false;
    private timer: Timer | undefined;

    constructor(
        private readonly source: WatchSource<Document>,
        private readonly options: DocumentWatchOptions,
    ) {}

    start(): void {
        void this.run();
    }

    /** Ends the loop; a call that is in progress is not waited for and its result is ignored. */
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

    /** Makes one call and returns the delay before the next. */
    private async runOnce(): Promise<number> {
        const startMs = this.options.clock.getMonotonicMs();
        const isCheck = startMs >= this.nextCheckMs;
        const watchMs = this.options.watchMs ?? 8_000;
        const result = await this.fetch(isCheck ? 0 : this.seenVersion, isCheck ? 0 : watchMs);
        if (this.closed) {
            return 0;
        }
        this.options.role.recordRead(result.isOk());
        if (result.isErr()) {
            return this.handleFailure(result.error);
        }
        if (isCheck) {
            this.nextCheckMs = startMs + (this.options.checkMs ?? 8_000);
        }
        const document = result.value;
        if (document === undefined) {
            this.failures = 0;
            const tookMs = this.options.clock.getMonotonicMs() - startMs;
            // A platform that answers a watch at once with nothing must not be asked again at once.
            return isCheck || tookMs >= watchMs / 2 ? 0 : this.computeBackoff(1);
        }
        const applied = await this.source.apply(document);
        if (applied.isErr() && retryCodes.includes(applied.error.code)) {
            return this.handleFailure(applied.error);
        }
        const isRepeated = !isCheck && document.version === this.seenVersion;
        this.seenVersion = document.version;
        this.failures = 0;
        return isRepeated ? this.computeBackoff(1) : 0;
    }

    private fetch(afterVersion: number, waitMs: number): Promise<Result<Document | undefined, Failure>> {
        this.options.metrics.addCount("platform.reads", { document: this.source.name });
        return new Promise(resolve => {
            const timer = this.options.timers.start(waitMs + (this.options.callMs ?? 2_000), () => {
                resolve(err(createFailure(Code.PlatformUnreachable, { detail: "the call took too long" })));
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
