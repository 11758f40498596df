import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { buildOwnerReply } from "./build_owner_reply.ts";
import { EarliestReturn } from "./earliest_return.ts";

// Guards against the time of the owner that was asked last, which may have the longest queue.
test("the caller is told the earliest time of all owners that refused its request", () => {
    const buildReply = (retryAfterMs?: number) =>
        buildOwnerReply({ ownerId: "d1", incarnation: "1" }, { requestId: "r1", attempt: 1 }, {
            code: Code.WaitTooLong,
            retryAfterMs,
        });
    const earliest = new EarliestReturn();
    assert.equal(earliest.apply(buildReply(), 0).retryAfterMs, undefined);
    earliest.record(buildReply(300), 100);
    earliest.record(buildReply(900), 150);
    earliest.record(buildReply(), 160);
    assert.equal(earliest.apply(buildReply(900), 200).retryAfterMs, 200);
    assert.equal(earliest.apply(buildReply(900), 500).retryAfterMs, 0);
});
