import assert from "node:assert/strict";
import { test } from "node:test";
import { buildService } from "../../proof/fakes/build_service.ts";
import { ServiceTimes } from "./service_times.ts";

test("the configured time replaces a stale estimate, which could refuse all requests for ever", () => {
    const times = new ServiceTimes();
    const route = buildService().routes[0]!;
    assert.equal(times.getMeanMs(route, 0), 50);
    times.record(route, 5_000, 0);
    assert.equal(times.getMeanMs(route, 2_000), 5_000);
    assert.equal(times.getMeanMs(route, 2_001), 50);
    times.record(route, 100, 2_001);
    assert.equal(times.getMeanMs(route, 2_001), 100);
    times.record(route, 180, 2_002);
    assert.deepEqual([times.getMeanMs(route, 2_002), times.getDeviationMs(route, 2_002)], [110, 57.5]);
});

test("a free slot serves a request with less time left than the mean, because most take less", () => {
    const times = new ServiceTimes();
    const route = buildService().routes[0]!;
    times.record(route, 400, 0);
    assert.equal(times.computeNeededMs(route, 0, 0), 160);
    assert.ok(times.computeNeededMs(route, 1, 0) > 400);
});
