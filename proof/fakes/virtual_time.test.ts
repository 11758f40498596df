import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "./virtual_time.ts";

test("virtual timers run in order of their due time, and closed timers do not run", async () => {
    const time = new VirtualTime();
    const ran: string[] = [];
    time.start(30, () => ran.push("c"));
    time.start(10, () => ran.push("a"));
    time.start(20, () => ran.push("b"));
    time.start(15, () => ran.push("closed")).close();
    await time.run(25);
    assert.deepEqual(ran, ["a", "b"]);
    assert.equal(time.getMonotonicMs(), 25);
    await time.run(5);
    assert.deepEqual(ran, ["a", "b", "c"]);
});

test("after a pause, overdue timers run late and do not set the clock back to their due time", async () => {
    const time = new VirtualTime();
    const ranAtMs: number[] = [];
    time.start(10, () => ranAtMs.push(time.getMonotonicMs()));
    time.addPause(1_000);
    await time.run(1);
    assert.deepEqual(ranAtMs, [1_000]);
    assert.equal(time.getMonotonicMs(), 1_001);
});
