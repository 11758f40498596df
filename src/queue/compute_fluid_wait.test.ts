import assert from "node:assert/strict";
import { test } from "node:test";
import { computeFluidWait } from "./compute_fluid_wait.ts";

test("queued work flows into slots as they become free, so that one busy slot does not hide the others", () => {
    assert.equal(computeFluidWait([0, 1_000], 0), 0);
    assert.equal(computeFluidWait([30, 1_000], 0), 30);
    assert.equal(computeFluidWait([30, 1_000], 100), 130);
    assert.equal(computeFluidWait([0, 100], 300), 200);
});
