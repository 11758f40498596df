import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultEstimator } from "./fault_estimator.ts";

function applyResults(results: string, stepMs = 100): FaultEstimator {
    const estimator = new FaultEstimator(0);
    [...results].forEach((result, index) => estimator.recordResult(result === "x", (index + 1) * stepMs));
    return estimator;
}

test("one failure after successes makes an upstream doubtful, a second one makes it failing", () => {
    const good = applyResults(".....").getProbability(500);
    const doubtful = applyResults(".....x").getProbability(600);
    const failing = applyResults(".....xx").getProbability(700);
    assert.ok(
        good < 0.02 && doubtful > 0.2 && doubtful < 0.8 && failing > 0.9,
        `${good} ${doubtful} ${failing}`,
    );
});

test("a success soon after a single failure clears the upstream again", () => {
    assert.ok(applyResults(".....x..").getProbability(800) < 0.1);
});

test("one success during a fault does not clear the upstream, because some requests succeed there", () => {
    assert.ok(applyResults("xxxx.").getProbability(500) > 0.6);
});

test("a late failure weighs less than a prompt one, because another service may have caused it", () => {
    const late = applyResults(".....");
    late.recordLateFailure(600);
    assert.ok(late.getProbability(600) < 0.1);
});

test("what is known fades, so that an upstream that got no requests is tried again", () => {
    const estimator = applyResults("xxxx");
    assert.ok(estimator.getProbability(400) > 0.95);
    assert.ok(estimator.getProbability(60_000) < 0.35);
});
