import type { LogLevel } from "./log_level.ts";

/** Structured log. */
export interface Logger {
    /** Writes one line; `event` is a fixed name in snake case, `fields` may hold `code` and `requestId`. */
    write(level: LogLevel, event: string, fields?: Readonly<Record<string, string | number | boolean>>): void;
}
