import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { FairQueue } from "./fair_queue.ts";
import type { QueueEntry } from "./queue_entry.ts";

function buildEntry(organisation: string, costMs: number): QueueEntry {
    return {
        request: buildOwnerRequest({ organisation }),
        queuedAtMs: 0,
        costMs,
        estimatedWaitMs: 0,
        firstOfOrganisation: true,
        resolve: () => undefined,
    };
}

test("the served cost of two backlogged organisations differs by at most twice the largest cost", () => {
    const cost = fc.integer({ min: 1, max: 100 });
    fc.assert(
        fc.property(fc.array(cost, { minLength: 50 }), fc.array(cost, { minLength: 50 }), (left, right) => {
            const queue = new FairQueue();
            const limitMs = 2 * Math.max(...left, ...right);
            left.forEach(costMs => queue.add(buildEntry("left", costMs)));
            right.forEach(costMs => queue.add(buildEntry("right", costMs)));
            const served = { left: 0, right: 0 };
            while (queue.countOrganisation("left") > 0 && queue.countOrganisation("right") > 0) {
                const entry = queue.take()!;
                served[entry.request.organisation as "left" | "right"] += entry.costMs;
                assert.ok(Math.abs(served.left - served.right) <= limitMs);
            }
        }),
        { seed: 1, numRuns: 100 },
    );
});

test("a single request waits for at most one turn of each other organisation, so that none starves", () => {
    const queue = new FairQueue();
    for (let index = 0; index < 100; index++) {
        queue.add(buildEntry(`o${index % 4}`, 10));
    }
    queue.add(buildEntry("single", 10));
    const turn = Array.from({ length: 5 }, () => queue.take()!.request.organisation).indexOf("single");
    assert.equal(turn, 4);
});

test("only organisations with queued work have state, so that 140,000 idle ones use no memory", () => {
    const queue = new FairQueue();
    for (let index = 0; index < 140_000; index++) {
        const entry = buildEntry(`o${index}`, 10);
        queue.add(entry);
        assert.equal(index % 2 === 0 ? queue.take() : queue.remove(entry), index % 2 === 0 ? entry : true);
        assert.equal(queue.remove(entry), false);
        assert.equal(queue.countOrganisations(), 0);
    }
    assert.deepEqual([queue.count(), queue.getWorkMs(), queue.take()], [0, 0, undefined]);
});

test("an entry is evicted only from an organisation with at least two entries more", () => {
    const queue = new FairQueue();
    queue.add(buildEntry("small", 10));
    assert.equal(queue.evictFromLargest("new"), undefined);
    queue.add(buildEntry("large", 10));
    const newest = buildEntry("large", 10);
    queue.add(newest);
    assert.equal(queue.evictFromLargest("small"), undefined);
    assert.equal(queue.evictFromLargest("new"), newest);
});
