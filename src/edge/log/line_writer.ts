/**
 * Writes lines to a file descriptor without waiting for its reader.
 *
 * @example
 * ```ts
 * const writer = new LineWriter({ fd: 1, timers, formatDropped: count => `${count} lines dropped` });
 * writer.write("a line\n");
 * await writer.close();
 * ```
 *
 * @module
 */
import SonicBoom from "sonic-boom";
import type { Timer } from "../../core/timer.ts";
import type { Timers } from "../../core/timers.ts";

/** Most bytes buffered for a reader that does not read; beyond them, whole lines are dropped. */
const maxPendingBytes = 262_144;
/** Milliseconds for which lines are collected, so that they share one system call. */
const flushDelayMs = 100;
/** Milliseconds for which `close` waits for a slow reader. */
const closeTimeoutMs = 200;

interface Options {
    readonly fd: number;
    readonly timers: Timers;
    /** Builds the line that reports how many lines were dropped. */
    readonly formatDropped: (lines: number) => string;
}

/** Writes lines in batches; drops and counts those that do not fit into the buffer. */
export class LineWriter {
    private readonly stream: SonicBoom;
    private lines: string[] = [];
    private flushTimer: Timer | undefined;
    private dropped = 0;

    constructor(private readonly options: Options) {
        this.stream = new SonicBoom({ fd: options.fd, sync: false, maxLength: maxPendingBytes });
        this.stream.on("drop", (text: string) => {
            this.dropped += text.split("\n").length - 1;
        });
        // A closed reader must not end the daemon.
        this.stream.on("error", () => {
            this.dropped += 1;
        });
    }

    /** `line` must end with a line break. */
    write(line: string): void {
        this.lines.push(line);
        this.flushTimer ??= this.options.timers.start(flushDelayMs, () => this.writePending());
    }

    /** Writes buffered lines; resolves when they are written or after the timeout. */
    close(): Promise<void> {
        this.flushTimer?.close();
        this.writePending();
        return new Promise(resolve => {
            const closeTimer = this.options.timers.start(closeTimeoutMs, resolve);
            this.stream.once("close", () => {
                closeTimer.close();
                resolve();
            });
            this.stream.end();
        });
    }

    private writePending(): void {
        this.flushTimer = undefined;
        const text = this.lines.join("");
        this.lines = [];
        if (this.dropped > 0) {
            const { dropped } = this;
            this.dropped = 0;
            this.stream.write(this.options.formatDropped(dropped));
        }
        this.stream.write(text);
    }
}
