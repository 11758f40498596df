import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveSlotLimit } from "./adaptive_slot_limit.ts";

test("the limit follows an upstream that sheds, and failed increases become rare but never stop", () => {
    const limit = new AdaptiveSlotLimit(3);
    let shed = 0;
    for (let nowMs = 0; nowMs < 300_000; nowMs += 10) {
        if (limit.getSlots(nowMs) === 3) {
            limit.recordEnd(nowMs, 3, true);
            shed += 1;
        }
        assert.equal(limit.getSlots(nowMs), 2);
    }
    // At 0, 1, 3, 7, 15 and 31 seconds, and then every 30 seconds from 61 to 271.
    assert.equal(shed, 14);
    assert.equal(limit.getSlots(400_000), 3);
});

test("a shed request leaves at least one slot, so that the upstream is not excluded for ever", () => {
    const limit = new AdaptiveSlotLimit(1);
    limit.recordEnd(0, 1, true);
    assert.equal(limit.getSlots(0), 1);
});
