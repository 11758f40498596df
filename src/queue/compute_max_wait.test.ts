import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { createDefaultRoute } from "../config/create_default_route.ts";
import { computeMaxWait } from "./compute_max_wait.ts";

const fields = { name: "r", service: "s", idempotent: true, targetMs: 200, deadlineMs: 600 };

function computeFor(
    parts: Partial<typeof fields>,
    serviceMs: number,
    runningMeanMs: number,
    nowMs = 0,
): number {
    const request = buildOwnerRequest({
        route: createDefaultRoute({ ...fields, ...parts }),
        deadlineMs: 600,
    });
    return computeMaxWait(request, { serviceMs, runningMeanMs, nowMs });
}

test("a request waits only while it can meet its target, so that no queue fills with late requests", () => {
    assert.equal(computeFor({}, 50, 50), 150);
    assert.equal(computeFor({}, 50, 50, 100), 50);
});

test("a request that misses its target may wait briefly, so that a slot that becomes free serves it", () => {
    assert.equal(computeFor({}, 50, 50, 300), 25);
});

test("a small idempotent request may be late, as its refusal fails the larger request that sent it", () => {
    assert.equal(computeFor({}, 50, 300), 250);
    assert.equal(computeFor({ idempotent: false }, 50, 300), 150);
});

test("a route without a target does not limit the wait", () => {
    assert.equal(computeFor({ targetMs: 0 }, 50, 50), Infinity);
});
