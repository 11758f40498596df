import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { Evidence } from "./evidence.ts";
import { SequentialUpstreamTest } from "./sequential_upstream_test.ts";

const alarmScore = 14.5;
const good: Evidence = {
    upstreamId: "u0",
    service: "payments",
    kind: UpstreamResultKind.Answered,
    expected: true,
    serviceMs: 20,
    baselineMs: 60,
    trial: false,
    atMs: 0,
};

function countUntilAlarm(evidence: Evidence): number {
    const upstream = new SequentialUpstreamTest();
    for (let count = 1; count <= 100; count += 1) {
        upstream.apply(evidence, alarmScore);
        if (upstream.getScore() >= alarmScore) {
            return count;
        }
    }
    return Number.POSITIVE_INFINITY;
}

test("each kind of fault raises the alarm within 20 requests, which arrive in two seconds", () => {
    const faults: readonly Partial<Evidence>[] = [
        { serviceMs: 100 },
        { expected: false },
        { kind: UpstreamResultKind.NotSent, expected: false, serviceMs: 0 },
        { kind: UpstreamResultKind.Cut, expected: false },
        { kind: UpstreamResultKind.TimedOut, expected: false, serviceMs: 500 },
    ];
    for (const fault of faults) {
        assert.ok(countUntilAlarm({ ...good, ...fault }) <= 20, JSON.stringify(fault));
    }
});

test("a slow answer without a baseline and a timeout before the baseline are no evidence", () => {
    const noBaseline = { ...good, serviceMs: 900, baselineMs: 0 };
    const shortTime = { ...good, kind: UpstreamResultKind.TimedOut, expected: false, serviceMs: 10 };
    assert.equal(countUntilAlarm(noBaseline), Number.POSITIVE_INFINITY);
    assert.equal(countUntilAlarm(shortTime), Number.POSITIVE_INFINITY);
});

test("successful trial requests end the run of the test, and a failed one restarts their count", () => {
    const upstream = new SequentialUpstreamTest();
    for (let count = 0; count < 20; count += 1) {
        upstream.apply({ ...good, expected: false }, alarmScore);
    }
    for (const expected of [true, true, true, false, true, true, true]) {
        upstream.apply({ ...good, expected, trial: true }, alarmScore);
        assert.ok(upstream.getScore() > alarmScore / 2);
    }
    upstream.apply({ ...good, trial: true }, alarmScore);
    assert.equal(upstream.getScore(), 0);
});
