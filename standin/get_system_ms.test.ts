import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { getSystemMs } from "./get_system_ms.ts";

test("the clock is the same in every process, so that an execution is never ordered after its answer", () => {
    const beforeMs = getSystemMs();
    const childMs = Number(
        execFileSync(process.execPath, ["-p", "Number(process.hrtime.bigint()) / 1e6"]).toString(),
    );
    const afterMs = getSystemMs();
    assert.ok(beforeMs < childMs && childMs < afterMs, `${beforeMs} ${childMs} ${afterMs}`);
});
