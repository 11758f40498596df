import assert from "node:assert/strict";
import { test } from "node:test";
import { LogRateLimiter } from "./log_rate_limiter.ts";

const options = { bytesPerSecond: 1_000, linesPerSecond: 10 };

function countAccepted(limiter: LogRateLimiter, count: number, isUrgent: boolean, nowMs: number): number {
    return Array.from({ length: count }, () => limiter.take(10, isUrgent, nowMs)).filter(Boolean).length;
}

test("five times the allowed lines are limited to the rate, so that a load peak does not flood the log", () => {
    const limiter = new LogRateLimiter(options);
    let accepted = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
        accepted += countAccepted(limiter, 1, true, nowMs);
    }
    assert.ok(accepted <= 10 * 11 && accepted >= 90, `${accepted} lines in 10 s`);
    assert.equal(limiter.takeDroppedCount(), 500 - accepted);
    assert.equal(limiter.takeDroppedCount(), 0);
});

test("lines about successes use at most half of the limit, so that lines about failures are not dropped", () => {
    const limiter = new LogRateLimiter(options);
    assert.equal(countAccepted(limiter, 50, false, 0), 5);
    assert.equal(countAccepted(limiter, 50, true, 0), 5);
});

test("long lines are limited by their bytes", () => {
    const limiter = new LogRateLimiter(options);
    assert.deepEqual([limiter.take(900, true, 0), limiter.take(200, true, 0)], [true, false]);
});
