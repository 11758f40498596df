import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../../src/core/code.ts";
import { SelectionFleet } from "./selection_fleet.ts";

/** A refused attempt costs two hops and no progress: requests should meet one on average at most. */
const maxRefusalsPerServed = 1;

const reservation = {
    idempotent: false,
    method: "POST",
    serviceMs: 710,
    targetMs: 4_000,
    deadlineMs: 10_000,
    priority: 1,
};
const stockCheck = { idempotent: true, serviceMs: 210, targetMs: 800, deadlineMs: 2_500, maxAttempts: 3 };

// Guards against choices by old reports, and against trial requests of all entry daemons to the same
// upstreams: thirty entry daemons at 44 upstreams of which a third fail, near the capacity of the others.
for (const seed of [1, 2]) {
    test(`requests are refused once on average at most while a third of the upstreams fail, seed ${seed}`, async () => {
        const fleet = new SelectionFleet({
            seed,
            upstreams: 44,
            slots: 7,
            durationMs: 12_000,
            lateFailureShare: 0.12,
            reportIntervalMs: 2_000,
            demands: [
                { route: reservation, requestsPerSecond: 170 },
                { route: stockCheck, requestsPerSecond: 45 },
            ],
        });
        await fleet.run();
        const count = (code: Code) => fleet.attemptsByCode.get(code) ?? 0;
        const served = fleet.completedRequests.filter(request => request.served).length;
        const refused = count(Code.RetryElsewhere) + count(Code.UpstreamSuspected) + count(Code.WaitTooLong);
        assert.ok(refused <= maxRefusalsPerServed * served, `${refused} refused, ${served} served`);
    });
}
