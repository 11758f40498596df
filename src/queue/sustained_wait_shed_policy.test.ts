import assert from "node:assert/strict";
import { test } from "node:test";
import { SustainedWaitShedPolicy } from "./sustained_wait_shed_policy.ts";

test("a short burst sheds nothing, and a sustained wait sheds only arrivals above the target", () => {
    const policy = new SustainedWaitShedPolicy();
    policy.decideShedOnStart(0, 150, 100);
    policy.decideShedOnStart(99, 150, 100);
    assert.equal(policy.decideShedOnArrival(99, 150, 100), false);
    policy.decideShedOnStart(100, 150, 100);
    assert.equal(policy.decideShedOnArrival(100, 101, 100), true);
    assert.equal(policy.decideShedOnArrival(100, 100, 100), false);
});

test("shedding continues while waits stay near the target, so that the queue does not fill up again", () => {
    const policy = new SustainedWaitShedPolicy();
    policy.decideShedOnStart(0, 150, 100);
    policy.decideShedOnStart(100, 150, 100);
    policy.decideShedOnStart(200, 49, 100);
    policy.decideShedOnStart(250, 60, 100);
    policy.decideShedOnStart(300, 49, 100);
    assert.equal(policy.decideShedOnArrival(300, 150, 100), true);
    policy.decideShedOnStart(400, 49, 100);
    assert.equal(policy.decideShedOnArrival(400, 150, 100), false);
});
