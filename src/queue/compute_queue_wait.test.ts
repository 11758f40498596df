import assert from "node:assert/strict";
import { test } from "node:test";
import { computeQueueWait } from "./compute_queue_wait.ts";

test("a slot that stays busy does not raise the estimated wait when other slots become free earlier", () => {
    assert.equal(computeQueueWait([0, 1_000], 0), 0);
    assert.equal(computeQueueWait([30, 1_000], 0), 30);
    assert.equal(computeQueueWait([30, 1_000], 100), 130);
    assert.equal(computeQueueWait([0, 100], 300), 200);
});
