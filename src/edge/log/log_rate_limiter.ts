/**
 * Limits the bytes and lines that a log receives per second. Part of the limit is reserved for warnings and
 * errors, so that lines about successes are dropped first.
 *
 * @example
 * ```ts
 * const limiter = new LogRateLimiter({ bytesPerSecond: 65_536, linesPerSecond: 400 });
 * if (limiter.take(line.length, isUrgent, nowMs)) {
 *     writer.write(line);
 * }
 * ```
 *
 * @module
 */

interface Options {
    readonly bytesPerSecond: number;
    readonly linesPerSecond: number;
}

/** Share of the limit that is reserved for warnings and errors. */
const urgentShare = 0.5;

/** Token bucket over bytes and lines; its capacity is the limit of one second. */
export class LogRateLimiter {
    private bytes: number;
    private lines: number;
    private updatedAtMs = -Infinity;
    private droppedCount = 0;

    constructor(private readonly options: Options) {
        this.bytes = options.bytesPerSecond;
        this.lines = options.linesPerSecond;
    }

    /** Returns false when the line must be dropped; `nowMs` is monotonic. */
    take(bytes: number, isUrgent: boolean, nowMs: number): boolean {
        const { bytesPerSecond, linesPerSecond } = this.options;
        const elapsedS = Math.min(1, (nowMs - this.updatedAtMs) / 1_000);
        this.updatedAtMs = nowMs;
        this.bytes = Math.min(bytesPerSecond, this.bytes + elapsedS * bytesPerSecond);
        this.lines = Math.min(linesPerSecond, this.lines + elapsedS * linesPerSecond);
        const reservedShare = isUrgent ? 0 : urgentShare;
        if (
            this.bytes - bytes < reservedShare * bytesPerSecond ||
            this.lines - 1 < reservedShare * linesPerSecond
        ) {
            this.droppedCount += 1;
            return false;
        }
        this.bytes -= bytes;
        this.lines -= 1;
        return true;
    }

    /** Returns the number of lines dropped since the last call. */
    takeDroppedCount(): number {
        const { droppedCount } = this;
        this.droppedCount = 0;
        return droppedCount;
    }
}
