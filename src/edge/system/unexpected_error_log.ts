/**
 * Keeps the process running after an error that no component handled: the other requests in flight are
 * still served, and a restart would cut all of them.
 *
 * @example
 * ```ts
 * const errors = new UnexpectedErrorLog({ process, logger, metrics });
 * errors.open();
 * errors.close();
 * ```
 *
 * @module
 */
import type { EventEmitter } from "node:events";
import { LogLevel } from "../../core/log_level.ts";
import type { Logger } from "../../core/logger.ts";
import type { Metrics } from "../../core/metrics.ts";

interface Options {
    /** The Node.js process, or another source of its events. */
    readonly process: Pick<EventEmitter, "on" | "off">;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Most characters of a stack trace in a log line. */
const maxDetailLength = 1_000;
const events = ["uncaughtException", "unhandledRejection"] as const;

/** Logs and counts errors that would end the process. */
export class UnexpectedErrorLog {
    constructor(private readonly options: Options) {}

    open(): void {
        events.forEach(event => this.options.process.on(event, this.handleError));
    }

    close(): void {
        events.forEach(event => this.options.process.off(event, this.handleError));
    }

    private readonly handleError = (error: unknown): void => {
        const { logger, metrics } = this.options;
        const text = error instanceof Error ? error.stack ?? error.message : String(error);
        metrics.addCount("process.unexpected_errors");
        logger.write(LogLevel.Error, "unexpected_error", { detail: text.slice(0, maxDetailLength) });
    };
}
