import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { Outcome } from "../core/outcome.ts";
import { ReturnTimePolicy } from "./return_time_policy.ts";

const serviceMs = 200;

function decide(policy: ReturnTimePolicy, code: Code, retryAfterMs?: number, priority = 0) {
    const refusal = createFailure(code, { outcome: Outcome.NotExecuted, retryAfterMs });
    return policy.decide(refusal, { priority, serviceMs });
}

// Guards against callers of a full service that return before a slot is free, or all together: with a constant
// of 0.2 s, 100 callers refused at once came back within the same millisecond.
test("callers of a full service return after a slot is free, urgent ones first, and not together", () => {
    const policy = new ReturnTimePolicy(new SeededRandom(1));
    const freeInMs = 700;
    const listTimes = (priority: number) =>
        Array.from({ length: 100 }, () => decide(policy, Code.WaitTooLong, freeInMs, priority)!);
    const urgent = listTimes(0);
    const others = listTimes(1);
    assert.ok(Math.min(...urgent) >= freeInMs);
    assert.ok(Math.max(...urgent) <= Math.min(...others));
    // One slot serves the callers of a turn one after the other, so they must use most of the turn.
    assert.ok(Math.max(...urgent) - Math.min(...urgent) > 0.9 * serviceMs);
});

test("a caller goes elsewhere at once when only this daemon or its upstream cannot serve it", () => {
    const policy = new ReturnTimePolicy(new SeededRandom(1));
    for (const code of [Code.OwnerLeaving, Code.NotReady, Code.EntryOverloaded]) {
        assert.equal(decide(policy, code, 900), 0);
    }
});

test("the time of a cap or a proof is kept, and a request that may have run gets none", () => {
    const policy = new ReturnTimePolicy(new SeededRandom(1));
    assert.equal(decide(policy, Code.OverUsageCap, 1_234), 1_234);
    assert.equal(decide(policy, Code.CredentialUnproved, 500), 500);
    assert.equal(policy.decide(createFailure(Code.UpstreamCut), { priority: 0, serviceMs }), undefined);
});
