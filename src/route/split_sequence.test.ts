import assert from "node:assert/strict";
import { test } from "node:test";
import { SplitSequence } from "./split_sequence.ts";

function countShares(start: number, requests: number, weights: ReadonlyMap<string, number>) {
    const sequence = new SplitSequence(start);
    const counts = new Map<string, number>();
    for (let index = 0; index < requests; index += 1) {
        const service = sequence.take(weights) ?? "";
        counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
}

test("few requests are divided close to the weights, as a daemon gets few of a route each second", () => {
    const weights = new Map([["payments", 75], ["accounts", 25]]);
    for (const start of [0, 0.3, 0.61, 0.99]) {
        const share = (countShares(start, 20, weights).get("accounts") ?? 0) / 20;
        assert.ok(Math.abs(share - 0.25) <= 0.1, `${share} from ${start}`);
    }
});

test("a service with weight 0 gets no requests, and a split without weights selects no service", () => {
    const counts = countShares(0.5, 100, new Map([["payments", 0], ["accounts", 1], ["supply", 0]]));
    assert.deepEqual([...counts], [["accounts", 100]]);
    assert.equal(new SplitSequence(0).take(new Map([["payments", 0]])), undefined);
});
