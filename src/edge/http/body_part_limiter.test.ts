import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyPartLimiter } from "./body_part_limiter.ts";

test("a body in parts of a byte is limited and one in small parts is not, so that a crowd does not occupy the processor", () => {
    const countAllowed = (partBytes: number): number => {
        const limiter = new BodyPartLimiter();
        let parts = 0;
        while (parts < 100_000 && limiter.add(partBytes)) {
            parts += 1;
        }
        return parts;
    };
    assert.deepEqual([1, 16].map(countAllowed), [17_476, 100_000]);
});
