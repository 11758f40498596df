/**
 * Log as JSON lines on standard error.
 *
 * @module
 */
import log from "loglevel";
import type { Clock } from "../../core/clock.ts";
import type { LogLevel } from "../../core/log_level.ts";
import type { Logger } from "../../core/logger.ts";

interface JsonLoggerOptions {
    readonly clock: Clock;
    readonly daemonId: string;
    readonly level: LogLevel;
    readonly writeLine: (line: string) => void;
}

/** Writes one JSON object a line through loglevel, which decides what the level lets pass. */
export class JsonLogger implements Logger {
    private readonly logger: log.Logger;

    constructor(private readonly options: JsonLoggerOptions) {
        this.logger = log.getLogger(`zinniaglade-${options.daemonId}`);
        this.logger.methodFactory = () => (line: string) => options.writeLine(`${line}\n`);
        this.logger.setLevel(options.level, false);
    }

    write(
        level: LogLevel,
        event: string,
        fields: Readonly<Record<string, string | number | boolean>> = {},
    ): void {
        const time = new Date(this.options.clock.getWallMs()).toISOString();
        this.logger[level](JSON.stringify({ time, level, event, daemon: this.options.daemonId, ...fields }));
    }
}
