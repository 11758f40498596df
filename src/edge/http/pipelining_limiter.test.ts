import assert from "node:assert/strict";
import { test } from "node:test";
import { PipeliningLimiter } from "./pipelining_limiter.ts";

test("pipelined requests are limited for each connection and for all, so that a crowd does not fill the memory with them", () => {
    const limiter = new PipeliningLimiter(100);
    assert.deepEqual([0, 1, 31, 32].map(requests => limiter.isAllowed(requests)), [true, true, true, false]);
    for (let request = 0; request < 100; request += 1) {
        limiter.add();
    }
    assert.deepEqual([0, 1].map(requests => limiter.isAllowed(requests)), [true, false]);
    limiter.remove();
    assert.equal(limiter.isAllowed(1), true);
});
