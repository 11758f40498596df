import assert from "node:assert/strict";
import { test } from "node:test";
import { LogRateLimiter } from "./log_rate_limiter.ts";

const options = { bytesPerSecond: 1_000, linesPerSecond: 10 };

function countAccepted(budget: LogRateLimiter, count: number, isUrgent: boolean, nowMs: number): number {
    return Array.from({ length: count }, () => budget.take(10, isUrgent, nowMs)).filter(Boolean).length;
}

test("five times the allowed lines are cut to the bound, so that a load peak does not become a log peak", () => {
    const budget = new LogRateLimiter(options);
    let taken = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
        taken += countAccepted(budget, 1, true, nowMs);
    }
    assert.ok(taken <= 10 * 11 && taken >= 90, `${taken} lines in 10 s`);
    assert.equal(budget.takeDroppedCount(), 500 - taken);
    assert.equal(budget.takeDroppedCount(), 0);
});

test("successes leave half of the budget, so that the line about a failure is not the one that is dropped", () => {
    const budget = new LogRateLimiter(options);
    assert.equal(countAccepted(budget, 50, false, 0), 5);
    assert.equal(countAccepted(budget, 50, true, 0), 5);
});

test("long lines are bounded by bytes", () => {
    const budget = new LogRateLimiter(options);
    assert.deepEqual([budget.take(900, true, 0), budget.take(200, true, 0)], [true, false]);
});
