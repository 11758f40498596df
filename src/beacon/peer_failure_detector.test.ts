import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerFailureDetector } from "./peer_failure_detector.ts";

/** Records a probe every 300 ms from 0 to `untilMs`. */
function sendProbes(detector: PeerFailureDetector, untilMs: number): void {
    for (let nowMs = 0; nowMs <= untilMs; nowMs += 300) {
        detector.recordProbe("peer", nowMs);
    }
}

test("a peer that stops acknowledging is unresponsive until it acknowledges; one that never did is not", () => {
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

test("a daemon whose own event loop was blocked does not count others as unresponsive", () => {
    const detector = new PeerFailureDetector();
    detector.recordAck("peer", 0);
    sendProbes(detector, 300);
    assert.equal(detector.isUnresponsive("peer", 5_000), false);
    assert.deepEqual(detector.listProbeTargets(5_000), ["peer"]);
});

test("a suspicion reported by others does not make a peer unresponsive that still acknowledges this daemon", () => {
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
