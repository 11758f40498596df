import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { getMonotonicMs } from "./get_monotonic_ms.ts";

test("all processes share a monotonic clock, so that an execution is never ordered after its answer", () => {
    const beforeMs = getMonotonicMs();
    const childMs = Number(
        execFileSync(process.execPath, ["-p", "Number(process.hrtime.bigint()) / 1e6"]).toString(),
    );
    const afterMs = getMonotonicMs();
    assert.ok(beforeMs < childMs && childMs < afterMs, `${beforeMs} ${childMs} ${afterMs}`);
});
