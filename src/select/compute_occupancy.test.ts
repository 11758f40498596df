import assert from "node:assert/strict";
import { test } from "node:test";
import { computeOccupancy } from "./compute_occupancy.ts";

const background = { load: 0.8, serviceMs: 200 };

// Guards against requests that gather at upstreams of which nothing recent is known.
test("an old report of an idle upstream loses its meaning within a few service times", () => {
    const idle = { slots: 2, inFlight: 0, others: 0, reportedAtMs: 0 };
    const fresh = computeOccupancy(idle, background, 0);
    const old = computeOccupancy(idle, background, 1_000);
    const unknown = computeOccupancy({ ...idle, reportedAtMs: -Infinity }, background, 1_000);
    assert.ok(fresh.fullProbability < 0.01);
    assert.ok(Math.abs(old.fullProbability - unknown.fullProbability) < 0.01);
    assert.ok(old.fullProbability > 0.3);
});

// Guards against upstreams that stay avoided because their last report showed a full queue.
test("an old report of a full upstream approaches the background load from above", () => {
    const full = { slots: 2, inFlight: 0, others: 4, reportedAtMs: 0 };
    const loads = [0, 100, 300, 2_000].map(nowMs => computeOccupancy(full, background, nowMs).load);
    assert.deepEqual(loads, [...loads].sort((left, right) => right - left));
    assert.ok(Math.abs(loads.at(-1)! - background.load) < 0.01);
});

test("requests of this daemon in flight fill slots whatever the report says", () => {
    const report = { slots: 2, inFlight: 2, others: 0, reportedAtMs: 0 };
    assert.ok(computeOccupancy(report, background, 0).fullProbability > 0.99);
});
