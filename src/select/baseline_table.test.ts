import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { buildTestService } from "../../proof/health/build_test_service.ts";
import { BaselineTable } from "./baseline_table.ts";

const service = buildTestService();
const route = service.routes[0]!;

/**
 * Baseline of `u0` after `count` answers of each of six upstreams, of which the first `slowUpstreams` are
 * slow.
 */
function computeBaseline(count: number, slowUpstreams: number, nowMs = 500): number {
    const random = new SeededRandom(3);
    const table = new BaselineTable();
    for (let round = 0; round < count; round += 1) {
        for (let index = 0; index < 6; index += 1) {
            const serviceMs = (15 + 10 * random.getFloat()) * (index < slowUpstreams ? 5 : 1);
            table.record(service, route, { upstreamId: `u${index}`, serviceMs, atMs: round });
        }
    }
    return table.compute(service, route, { upstreamId: "u0", excluded: new Set(), nowMs });
}

test("one slow upstream hardly changes the baseline, and two keep it below five times the normal service time", () => {
    const healthyMs = computeBaseline(20, 0);
    assert.ok(Math.abs(computeBaseline(20, 1) - healthyMs) < healthyMs * 0.1);
    assert.ok(computeBaseline(20, 2) < 5 * 20);
});

test("no baseline is computed from few answers, old answers or answers of one other upstream", () => {
    assert.equal(computeBaseline(1, 0), 0);
    assert.equal(computeBaseline(20, 0, 60_000), 0);
    const table = new BaselineTable();
    for (let atMs = 0; atMs < 50; atMs += 1) {
        table.record(service, route, { upstreamId: `u${atMs % 2}`, serviceMs: 20, atMs });
    }
    assert.equal(table.compute(service, route, { upstreamId: "u0", excluded: new Set(), nowMs: 50 }), 0);
});

test("a route with a longer normal service time does not count as slow beside faster routes of its work class", () => {
    const write = service.routes[1]!;
    const table = new BaselineTable();
    for (let atMs = 0; atMs < 200; atMs += 1) {
        table.record(service, route, { upstreamId: `u${atMs % 6}`, serviceMs: 20, atMs });
        if (atMs % 5 === 0) {
            table.record(service, write, { upstreamId: `u${atMs % 6}`, serviceMs: 200, atMs });
        }
    }
    const baselineMs = table.compute(service, write, { upstreamId: "u0", excluded: new Set(), nowMs: 200 });
    assert.ok(baselineMs > 2 * 200, `${baselineMs} ms`);
});
