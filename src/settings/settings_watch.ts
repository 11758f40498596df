/**
 * Applies changes of a settings file, with or without a signal.
 *
 * @example
 * ```ts
 * const watch = new SettingsWatch({ timers, logger, read: () => readFile(path, "utf8"), apply: parse });
 * watch.start(initialText);
 * await watch.check();
 * watch.close();
 * ```
 *
 * @module
 */
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { ReloadableSettings } from "./reloadable_settings.ts";

interface Options extends ReloadableSettings {
    readonly timers: Timers;
    readonly logger: Logger;
}

/** Milliseconds between two reads of the file. A read takes less than 0.1 ms. */
const periodMs = 1_000;

/** Reads the settings periodically and applies each new content once. */
export class SettingsWatch {
    private text = "";
    private timer: Timer | undefined;

    constructor(private readonly options: Options) {}

    /** `text` is the content that is already active. */
    start(text: string): void {
        this.text = text;
        this.startTimer();
    }

    /** Reads the file now, for example after a signal. */
    async check(): Promise<void> {
        const { apply, logger, read } = this.options;
        let text: string;
        try {
            text = await read();
        }
        catch (error) {
            // A file that is being replaced is read again after the next period.
            logger.write(LogLevel.Warn, "settings_unreadable", { detail: String(error) });
            return;
        }
        if (text === this.text) {
            return;
        }
        this.text = text;
        apply(text).match(
            () => logger.write(LogLevel.Info, "settings_reloaded"),
            ({ code, detail }) => logger.write(LogLevel.Error, "settings_rejected", { code, detail }),
        );
    }

    close(): void {
        this.timer?.close();
    }

    private startTimer(): void {
        this.timer = this.options.timers.start(periodMs, () => {
            void this.check();
            this.startTimer();
        });
    }
}
