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
const maxWaitingBytes = 262_144;
/** Milliseconds that a line waits for others, so that they share one system call. */
const flushMs = 100;
/** Milliseconds that the end of the process waits for a slow reader. */
const closeMs = 200;

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
    private timer: Timer | undefined;
    private dropped = 0;

    constructor(private readonly options: Options) {
        this.stream = new SonicBoom({ fd: options.fd, sync: false, maxLength: maxWaitingBytes });
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
        this.timer ??= this.options.timers.start(flushMs, () => this.writeWaiting());
    }

    /** Writes what waits; resolves when that is done or the reader has had its time. */
    close(): Promise<void> {
        this.timer?.close();
        this.writeWaiting();
        return new Promise(resolve => {
            const limit = this.options.timers.start(closeMs, resolve);
            this.stream.once("close", () => {
                limit.close();
                resolve();
            });
            this.stream.end();
        });
    }

    private writeWaiting(): void {
        this.timer = undefined;
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
