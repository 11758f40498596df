import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { createDefaultRoute } from "../config/create_default_route.ts";
import { computeMaxWait } from "./compute_max_wait.ts";

const fields = { name: "r", service: "s", idempotent: true, targetMs: 200, deadlineMs: 600 };

function computeFor(parts: Partial<typeof fields>, serviceMs: number, runningMs: number, nowMs = 0): number {
    const request = buildOwnerRequest({
        route: createDefaultRoute({ ...fields, ...parts }),
        deadlineMs: 600,
    });
    return computeMaxWait(request, { serviceMs, runningMeanMs: runningMs, nowMs });
}

test("work waits only as long as its answer can be in time, so that a queue does not fill with late work", () => {
    assert.equal(computeFor({}, 50, 50), 150);
    assert.equal(computeFor({}, 50, 50, 100), 50);
});

test("work that is late already waits a little, so that an upstream that becomes free still serves it", () => {
    assert.equal(computeFor({}, 50, 50, 300), 25);
});

test("a small call beside larger work may be somewhat late, since its refusal fails the work that made it", () => {
    assert.equal(computeFor({}, 50, 300), 250);
    assert.equal(computeFor({ idempotent: false }, 50, 300), 150);
});

test("a route without a target admits all that its deadline allows", () => {
    assert.equal(computeFor({ targetMs: 0 }, 50, 50), Infinity);
});
