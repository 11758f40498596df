import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerLiveness } from "./peer_liveness.ts";

test("a peer whose beacons stop is silent, one that was never heard is not", () => {
    const liveness = new PeerLiveness("me");
    liveness.record("peer", ["me"], 0);
    assert.deepEqual([liveness.isSilent("peer", 700), liveness.isSilent("peer", 900)], [false, true]);
    assert.equal(liveness.isSilent("other", 900), false);
    assert.deepEqual(liveness.listHeard(700), ["peer"]);
});

test("a cut in one direction is noticed by the side that is not heard", () => {
    const liveness = new PeerLiveness("me");
    for (let nowMs = 0; nowMs <= 2_000; nowMs += 250) {
        liveness.record("peer", nowMs < 1_000 ? ["me"] : [], nowMs);
    }
    assert.equal(liveness.isSilent("peer", 2_000), true);
    liveness.record("peer", ["me"], 2_100);
    assert.equal(liveness.isSilent("peer", 2_200), false);
});
