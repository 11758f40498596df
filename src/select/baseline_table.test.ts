import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { buildTestService } from "../../proof/health/build_test_service.ts";
import { BaselineTable } from "./baseline_table.ts";

const service = buildTestService();
const route = service.routes[0]!;

/** Baseline of `u0` after answers of `count` from each of six upstreams, of which the first ones are slow. */
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

test("a gray upstream does not shift its own baseline, and a second one leaves it below five times", () => {
    const healthyMs = computeBaseline(20, 0);
    assert.ok(Math.abs(computeBaseline(20, 1) - healthyMs) < healthyMs * 0.1);
    assert.ok(computeBaseline(20, 2) < 5 * 20);
});

test("with few, old or only own answers the baseline is unknown instead of wrong", () => {
    assert.equal(computeBaseline(1, 0), 0);
    assert.equal(computeBaseline(20, 0, 60_000), 0);
    const table = new BaselineTable();
    for (let atMs = 0; atMs < 50; atMs += 1) {
        table.record(service, route, { upstreamId: `u${atMs % 2}`, serviceMs: 20, atMs });
    }
    assert.equal(table.compute(service, route, { upstreamId: "u0", excluded: new Set(), nowMs: 50 }), 0);
});

test("a route that takes longer by nature is not slow compared with the other routes of its class", () => {
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
