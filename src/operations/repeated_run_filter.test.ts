import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { RepeatedRunFilter } from "./repeated_run_filter.ts";
import { RepeatedRunTable } from "./repeated_run_table.ts";

test("a request counts as repeated only while it runs again, so that later calls are not charged for it", async () => {
    for (const repeat of [true, false]) {
        const runs = new RepeatedRunTable();
        let wasRepeated = false;
        const filter = new RepeatedRunFilter({
            runs,
            inner: {
                apply: ({ requestId }) => {
                    wasRepeated = runs.has(requestId);
                    return ok({} as OwnerReply);
                },
            },
        });
        await filter.apply(buildOwnerRequest({ repeat }));
        assert.deepEqual([wasRepeated, runs.has("r1")], [repeat, false]);
    }
});
