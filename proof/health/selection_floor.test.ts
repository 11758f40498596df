import assert from "node:assert/strict";
import { test } from "node:test";
import { measureFloor } from "./measure_floor.ts";
import { SelectionFleet } from "./selection_fleet.ts";

const seeds = [1, 2, 3];
const durationMs = 20_000;
/** Milliseconds until the first estimates have settled. */
const settledMs = 4_000;
/** Least share of the sound upstreams that get requests in 2 s, by the rule of the platform. */
const minShare = 0.7;

const payment = {
    idempotent: false,
    method: "POST",
    serviceMs: 360,
    targetMs: 2_000,
    deadlineMs: 5_000,
    priority: 1,
};
const ledgerCheck = { idempotent: true, serviceMs: 100, targetMs: 500, deadlineMs: 1_200, maxAttempts: 3 };
const payments = { route: payment, requestsPerSecond: 127 };
const ledgerChecks = { route: ledgerCheck, requestsPerSecond: 66 };

async function runFleet(seed: number, parts: Partial<ConstructorParameters<typeof SelectionFleet>[0]>) {
    const fleet = new SelectionFleet({
        seed,
        durationMs,
        upstreams: 36,
        slots: 5,
        demands: [payments, ledgerChecks],
        lateFailureShare: 0.15,
        reportIntervalMs: 250,
        ...parts,
    });
    await fleet.run();
    return measureFloor(fleet, settledMs, durationMs);
}

for (const seed of seeds) {
    test(`upstreams that work again stay suspected while no retry budget is left to try them, seed ${seed}`, async () => {
        const { minUnsuspectedShare } = await runFleet(seed, {});
        assert.ok(minUnsuspectedShare >= minShare, `${minUnsuspectedShare}`);
    });

    test(`upstreams of a service without idempotent work stay suspected after a fault, seed ${seed}`, async () => {
        const { minUnsuspectedShare } = await runFleet(seed, { demands: [payments], lateFailureShare: 0.1 });
        assert.ok(minUnsuspectedShare >= minShare, `${minUnsuspectedShare}`);
    });

    test(`work goes only to the upstreams that were used last, seed ${seed}`, async () => {
        const { minUsedShare } = await runFleet(seed, {});
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    test(`work goes only to the upstreams that were used last while demand is low, seed ${seed}`, async () => {
        const demands = [{ ...payments, requestsPerSecond: 70 }, { ...ledgerChecks, requestsPerSecond: 36 }];
        const { minUsedShare } = await runFleet(seed, { demands });
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    test(`work goes only to the upstreams that were used last while reports are 2 s old, seed ${seed}`, async () => {
        const { minUsedShare } = await runFleet(seed, { reportIntervalMs: 2_000 });
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    for (
        const { name, demands } of [
            { name: "run-once work", demands: [payments] },
            { name: "little run-once work", demands: [{ ...payments, requestsPerSecond: 40 }] },
            {
                name: "little work",
                demands: [{ ...payments, requestsPerSecond: 40 }, { ...ledgerChecks, requestsPerSecond: 20 }],
            },
            { name: "idempotent work", demands: [ledgerChecks] },
        ]
    ) {
        test(`upstreams stay suspected whose failure domain has no callers, ${name}, seed ${seed}`, async () => {
            const parts = { demands, lateFailureShare: 0.1, callerDomains: ["domain 0"] };
            const { minUnsuspectedShare } = await runFleet(seed, parts);
            assert.ok(minUnsuspectedShare >= minShare, `${minUnsuspectedShare}`);
        });
    }
}
