/**
 * Logger that writes JSON lines.
 *
 * @module
 */
import log from "loglevel";
import type { Clock } from "../../core/clock.ts";
import { LogLevel } from "../../core/log_level.ts";
import type { Logger } from "../../core/logger.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";

interface JsonLoggerOptions {
    readonly clock: Clock;
    readonly daemonId: string;
    readonly level: LogLevel;
    readonly writeLine: (line: string) => void;
}

type Fields = Readonly<Record<string, string | number | boolean>>;

/**
 * Rate limits of one daemon. At the designed fleet size, a daemon serves about 80 requests per second and
 * writes about two lines of 500 bytes for each, so that lines about successes are dropped only above two and
 * a half times that rate.
 */
const rateLimits = { bytesPerSecond: 400_000, linesPerSecond: 800 };

/** Writes one JSON object per line through loglevel, which filters by level. */
export class JsonLogger implements Logger {
    private readonly logger: log.Logger;
    private readonly rateLimiter = new LogRateLimiter(rateLimits);

    constructor(private readonly options: JsonLoggerOptions) {
        this.logger = log.getLogger(`zinniaglade-${options.daemonId}`);
        this.logger.methodFactory = () => (line: string) => options.writeLine(`${line}\n`);
        this.logger.setLevel(options.level, false);
    }

    write(level: LogLevel, event: string, fields: Fields = {}): void {
        const line = this.format(level, event, fields);
        const isUrgent = level === LogLevel.Warn || level === LogLevel.Error;
        if (!this.rateLimiter.take(line.length, isUrgent, this.options.clock.getMonotonicMs())) {
            return;
        }
        const dropped = this.rateLimiter.takeDroppedCount();
        if (dropped > 0) {
            this.logger.warn(this.format(LogLevel.Warn, "lines_dropped", { dropped, cause: "rate" }));
        }
        this.logger[level](line);
    }

    private format(level: LogLevel, event: string, fields: Fields): string {
        const time = new Date(this.options.clock.getWallMs()).toISOString();
        return JSON.stringify({ time, level, event, daemon: this.options.daemonId, ...fields });
    }
}
