/**
 * Writes lines to a file descriptor without ever waiting for its reader.
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

/** Bytes that wait for a reader that has stopped; more are dropped, whole lines at a time. */
const maxPendingBytes = 262_144;
/** Milliseconds that a line waits for others, so that they share one system call. */
const flushDelayMs = 100;
/** Milliseconds that the end of the process waits for a slow reader. */
const closeTimeoutMs = 200;

interface Options {
    readonly fd: number;
    readonly timers: Timers;
    /** Builds the line that tells how many lines were dropped. */
    readonly formatDropped: (lines: number) => string;
}

/** Batches lines; those that find no room are dropped and counted. */
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
        // A reader that has gone must not end the daemon.
        this.stream.on("error", () => {
            this.dropped += 1;
        });
    }

    /** `line` ends with a line break. */
    write(line: string): void {
        this.lines.push(line);
        this.flushTimer ??= this.options.timers.start(flushDelayMs, () => this.writePending());
    }

    /** Writes what waits; resolves when that is done or the reader has had its time. */
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
