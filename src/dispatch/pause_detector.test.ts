import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { FakeProcess } from "../../proof/operations/fake_process.ts";
import { PauseDetector } from "./pause_detector.ts";

test("a pause is detected before the overdue timer runs, and ends after two event loop turns", async () => {
    const time = new VirtualTime();
    const process = new FakeProcess(time);
    const pauses = new PauseDetector({ clock: process, timers: process, turns: process });
    pauses.start();
    await time.run(1_000);
    assert.equal(pauses.isResuming(), false);
    time.addPause(1_100);
    assert.equal(pauses.isResuming(), true);
    const waited = pauses.wait();
    await time.run(0);
    await waited;
    assert.equal(pauses.isResuming(), false);
    pauses.close();
});

test("a timer that is late by less than 250 ms is not a pause", async () => {
    const time = new VirtualTime();
    const process = new FakeProcess(time);
    const pauses = new PauseDetector({ clock: process, timers: process, turns: process });
    pauses.start();
    time.addPause(350);
    assert.equal(pauses.isResuming(), false);
    pauses.close();
});
