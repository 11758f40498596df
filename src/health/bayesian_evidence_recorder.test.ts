import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { BayesianEvidenceRecorder } from "./bayesian_evidence_recorder.ts";
import { CallFailureHistory } from "./call_failure_history.ts";
import { suspicionLimits } from "./suspicion_limits.ts";

/** Milliseconds between two requests of one upstream, and the time that a failed call takes. */
const requestGapMs = 250;
const callMs = 90;
const requests = 400;

interface Load {
    /** Share of the requests that fail because a call of them fails. */
    readonly callFailureRate: number;
    /** Share of the requests that the upstream itself fails after it has worked on them. */
    readonly ownFailureRate: number;
}

/** Runs requests and returns the share of them after which the upstream was suspected. */
async function measureSuspicion({ callFailureRate, ownFailureRate }: Load, seed: number): Promise<number> {
    const time = new VirtualTime();
    const random = new SeededRandom(seed);
    const callFailures = new CallFailureHistory();
    const recorder = new BayesianEvidenceRecorder({
        clock: time,
        logger: { write: () => undefined },
        callFailures,
    });
    let suspected = 0;
    for (let count = 0; count < requests; count += 1) {
        await time.run(requestGapMs);
        const hasFailedCall = random.getFloat() < callFailureRate;
        const fails = hasFailedCall || random.getFloat() < ownFailureRate;
        if (hasFailedCall) {
            callFailures.record(time.getMonotonicMs());
            await time.run(2);
        }
        recorder.record({
            upstreamId: "u1",
            service: "payments",
            kind: UpstreamResultKind.Answered,
            expected: !fails,
            serviceMs: callMs,
            baselineMs: 1_000,
            trial: false,
            atMs: time.getMonotonicMs(),
        });
        suspected += recorder.getFaultProbability("u1") > suspicionLimits.nonIdempotentLimit ? 1 : 0;
    }
    return suspected / requests;
}

for (const seed of [1, 2, 3]) {
    test(`an upstream is not suspected because of the faults of a service that it calls, seed ${seed}`, async () => {
        const withSoundCalls = await measureSuspicion({ callFailureRate: 0, ownFailureRate: 0.01 }, seed);
        const withFaultyCalls = await measureSuspicion({ callFailureRate: 0.5, ownFailureRate: 0.01 }, seed);
        assert.ok(
            withFaultyCalls <= withSoundCalls + 0.01,
            `suspected after ${withFaultyCalls} of the requests, ${withSoundCalls} with sound calls`,
        );
    });

    test(`an upstream that fails by itself after it has worked is suspected, seed ${seed}`, async () => {
        const share = await measureSuspicion({ callFailureRate: 0, ownFailureRate: 0.85 }, seed);
        assert.ok(share >= 0.9, `suspected after ${share} of the requests`);
    });
}
