import assert from "node:assert/strict";
import { test } from "node:test";
import { QueueReplay } from "../../proof/queue/queue_replay.ts";

/** Share of the requests that the queue must answer within their target while the slots suffice for all. */
const minShare = 0.95;
const durationMs = 60_000;

// Guards against a slot left unused for urgent requests that can wait for the next one: of two slots it is
// half of the room for uploads.
test("uploads use both slots of an upstream beside listings that can wait, and both meet their targets", async () => {
    const listings = { route: { priority: 1, targetMs: 1_000, serviceMs: 210 }, getRate: () => 1 };
    const uploads = { route: { priority: 2, targetMs: 2_000, serviceMs: 280 }, getRate: () => 4.2 };
    const replay = new QueueReplay({ seed: 1, slots: 2, durationMs, demands: [listings, uploads] });
    await replay.run();
    const shares = [replay.computeShare(0), replay.computeShare(1)];
    assert.ok(Math.min(...shares) >= minShare, shares.join(" "));
});

// Guards against large requests in all slots while small ones with a tight target arrive.
test("the last slot is kept for requests that would miss their target behind large ones", async () => {
    const balances = { route: { priority: 0, targetMs: 150, serviceMs: 50 }, getRate: () => 6.7 };
    const reports = { route: { priority: 1, targetMs: 20_000, serviceMs: 1_000 }, getRate: () => 1 };
    const replay = new QueueReplay({ seed: 1, slots: 3, durationMs, demands: [balances, reports] });
    await replay.run();
    assert.ok(replay.computeShare(0) >= minShare, `${replay.computeShare(0)}`);
});
