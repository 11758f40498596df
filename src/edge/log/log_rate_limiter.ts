/**
 * Bounds how much a log may grow in a second. The last part of the budget is kept for warnings and errors, so that
 * successes are sampled first.
 *
 * @example
 * ```ts
 * const budget = new LogRateLimiter({ bytesPerSecond: 65_536, linesPerSecond: 400 });
 * if (budget.take(line.length, isUrgent, nowMs)) {
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

/** Share of the budget that lines about successes leave for others. */
const keptShare = 0.5;

/** Token bucket over bytes and lines that holds one second's worth. */
export class LogRateLimiter {
    private bytes: number;
    private lines: number;
    private updatedAtMs = -Infinity;
    private refused = 0;

    constructor(private readonly options: Options) {
        this.bytes = options.bytesPerSecond;
        this.lines = options.linesPerSecond;
    }

    /** False when the line must be dropped; `nowMs` is monotonic. */
    take(bytes: number, isUrgent: boolean, nowMs: number): boolean {
        const { bytesPerSecond, linesPerSecond } = this.options;
        const passed = Math.min(1, (nowMs - this.updatedAtMs) / 1_000);
        this.updatedAtMs = nowMs;
        this.bytes = Math.min(bytesPerSecond, this.bytes + passed * bytesPerSecond);
        this.lines = Math.min(linesPerSecond, this.lines + passed * linesPerSecond);
        const kept = isUrgent ? 0 : keptShare;
        if (this.bytes - bytes < kept * bytesPerSecond || this.lines - 1 < kept * linesPerSecond) {
            this.refused += 1;
            return false;
        }
        this.bytes -= bytes;
        this.lines -= 1;
        return true;
    }

    /** Lines that were dropped since the last call. */
    takeDroppedCount(): number {
        const { refused } = this;
        this.refused = 0;
        return refused;
    }
}
