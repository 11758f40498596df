import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerFailureDetector } from "./peer_failure_detector.ts";

/** Probes from 0 on, every 300 ms, to the time given. */
function sendProbes(detector: PeerFailureDetector, untilMs: number): void {
    for (let nowMs = 0; nowMs <= untilMs; nowMs += 300) {
        detector.recordProbe("peer", nowMs);
    }
}

test("a peer that stops answering is silent until it answers, one that never answered is not", () => {
    const detector = new PeerFailureDetector();
    detector.recordAck("peer", 0);
    sendProbes(detector, 600);
    detector.recordProbe("other", 0);
    detector.recordProbe("other", 300);
    detector.recordProbe("other", 600);
    assert.deepEqual([detector.isUnresponsive("peer", 700), detector.isUnresponsive("peer", 900)], [
        false,
        true,
    ]);
    assert.equal(detector.isUnresponsive("other", 900), false);
    assert.deepEqual(detector.listUnresponsive(900), ["peer"]);
    detector.recordAck("peer", 1_000);
    assert.equal(detector.isUnresponsive("peer", 2_000), false);
});

test("a daemon whose own loop stood still does not take others for silent", () => {
    const detector = new PeerFailureDetector();
    detector.recordAck("peer", 0);
    sendProbes(detector, 300);
    assert.equal(detector.isUnresponsive("peer", 5_000), false);
    assert.deepEqual(detector.listProbeTargets(5_000), ["peer"]);
});

test("the word of others does not make a daemon silent that still answers this one", () => {
    const detector = new PeerFailureDetector();
    detector.recordAck("peer", 0);
    detector.recordSuspicion("peer", 1_000);
    assert.deepEqual(detector.listProbeTargets(1_000), []);
    detector.recordSuspicion("peer", 3_000);
    assert.deepEqual(detector.listProbeTargets(3_000), ["peer"]);
    assert.equal(detector.isUnresponsive("peer", 9_000), false);
    detector.recordProbe("peer", 3_000);
    detector.recordAck("peer", 3_001);
    assert.deepEqual(detector.listProbeTargets(3_001), []);
});
