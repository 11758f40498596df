import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { TokenRetryBudget } from "./token_retry_budget.ts";

test("retries stay within a percentage of first attempts, so that they cannot amplify a load peak", () => {
    const budget = new TokenRetryBudget(new VirtualTime());
    assert.equal(budget.take("payments"), false);
    let taken = 0;
    for (let index = 0; index < 1_000; index++) {
        budget.add("payments", 10);
        taken += budget.take("payments") ? 1 : 0;
    }
    assert.equal(taken, 100);
    assert.equal(budget.take("accounts"), false);
});

test("tokens of old first attempts expire, so that a quiet period accumulates no burst of retries", () => {
    const time = new VirtualTime();
    const budget = new TokenRetryBudget(time);
    for (let index = 0; index < 100; index++) {
        budget.add("payments", 10);
    }
    time.addPause(30_000);
    assert.equal(budget.take("payments"), false);
});
