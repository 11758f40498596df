import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultEstimator } from "./fault_estimator.ts";

function applyResults(results: string, stepMs = 100): FaultEstimator {
    const estimator = new FaultEstimator(0);
    [...results].forEach((result, index) => estimator.recordResult(result === "x", (index + 1) * stepMs));
    return estimator;
}

test("one failure after successes gives an intermediate fault probability, a second one a high one", () => {
    const healthy = applyResults(".....").getProbability(500);
    const uncertain = applyResults(".....x").getProbability(600);
    const failing = applyResults(".....xx").getProbability(700);
    assert.ok(
        healthy < 0.02 && uncertain > 0.2 && uncertain < 0.8 && failing > 0.9,
        `${healthy} ${uncertain} ${failing}`,
    );
});

test("successes soon after a single failure give a low fault probability again", () => {
    assert.ok(applyResults(".....x..").getProbability(800) < 0.1);
});

test("one success during a fault leaves the fault probability high, because some requests succeed during faults", () => {
    assert.ok(applyResults("xxxx.").getProbability(500) > 0.6);
});

test("a late failure has less weight than a prompt one, because another service may have caused it", () => {
    const late = applyResults(".....");
    late.recordLateFailure(600);
    assert.ok(late.getProbability(600) < 0.1);
});

test("the estimate decays without results, so that an upstream without requests gets trial requests again", () => {
    const estimator = applyResults("xxxx");
    assert.ok(estimator.getProbability(400) > 0.95);
    assert.ok(estimator.getProbability(60_000) < 0.35);
});
