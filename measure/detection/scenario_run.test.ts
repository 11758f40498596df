import assert from "node:assert/strict";
import { test } from "node:test";
import type { Deployment } from "./deployment.ts";
import { FaultKind } from "./fault_kind.ts";
import type { RunResult } from "./run_result.ts";
import { ScenarioRun } from "./scenario_run.ts";

/** With this sigma some 2% of a healthy upstream's answers are slow, the highest share that the test allows. */
const deployment: Deployment = {
    name: "three upstreams",
    service: "accounts",
    upstreams: 3,
    slots: 3,
    floor: 2,
    daemons: 3,
    otherReplyRate: 5,
    latencyMs: 0.5,
    longPercent: 0,
    serviceTimeSigma: 0.8,
};

const scenario = {
    rate: 50,
    eventRate: 50,
    dependencyFactor: 1,
    eventMs: 5_000,
    endMs: 15_000,
    baseline: false,
};

async function runSeeds(fault: FaultKind, faultyCount: number): Promise<readonly RunResult[]> {
    const results: RunResult[] = [];
    for (let seed = 1; seed <= 8; seed += 1) {
        results.push(
            await new ScenarioRun(deployment, { ...scenario, name: fault, fault, faultyCount }, seed)
                .run(),
        );
    }
    return results;
}

test("a slow upstream of three leaves the rotation although the others answer slowly by chance", async () => {
    const results = await runSeeds(FaultKind.Slow, 1);
    assert.deepEqual(
        results.map(({ trafficEndMs = Infinity }) => trafficEndMs < 10_000),
        results.map(() => true),
    );
    assert.deepEqual(results.map(({ falseEjections }) => falseEjections), results.map(() => 0));
});

test("an intermittent fault that all three upstreams share ejects none of them", async () => {
    const results = await runSeeds(FaultKind.FlappingStatus, Infinity);
    assert.deepEqual(results.map(({ falseEjections }) => falseEjections), results.map(() => 0));
});
