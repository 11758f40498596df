import assert from "node:assert/strict";
import { test } from "node:test";
import { WaitCorrection } from "./wait_correction.ts";

test("estimates follow measured waits within bounds, so that outliers do not close the queue", () => {
    const correction = new WaitCorrection();
    assert.equal(correction.apply(100), 100);
    correction.record(100, 150);
    assert.equal(correction.apply(100), 150);
    correction.record(0, 10_000);
    assert.equal(correction.apply(100), 150);
    correction.record(100, 10_000);
    assert.equal(correction.apply(100), 200);
});
