import assert from "node:assert/strict";
import { test } from "node:test";
import { measureFloor } from "./measure_floor.ts";
import { SelectionFleet } from "./selection_fleet.ts";

const seeds = [1, 2, 3];
const durationMs = 20_000;
/** Milliseconds until the first estimates have settled. */
const settledMs = 4_000;
/**
 * Smallest share of the healthy upstreams that must receive requests in 2 s, a requirement of the platform.
 */
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
    // Guards against recovered upstreams that stay suspected because no retry budget is left for trial
    // requests.
    test(`at least 70 % of healthy upstreams are used or trusted without retry budget, seed ${seed}`, async () => {
        const { minUnsuspectedShare } = await runFleet(seed, {});
        assert.ok(minUnsuspectedShare >= minShare, `${minUnsuspectedShare}`);
    });

    // Guards against upstreams that stay suspected after a fault because no idempotent request can try them.
    test(`at least 70 % of healthy upstreams are used or trusted without idempotent requests, seed ${seed}`, async () => {
        const { minUnsuspectedShare } = await runFleet(seed, { demands: [payments], lateFailureShare: 0.1 });
        assert.ok(minUnsuspectedShare >= minShare, `${minUnsuspectedShare}`);
    });

    // The three tests below guard against selection of only the most recently used upstreams.
    test(`at least 70 % of healthy upstreams get requests in every 2 s, seed ${seed}`, async () => {
        const { minUsedShare } = await runFleet(seed, {});
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    test(`at least 70 % of healthy upstreams get requests in every 2 s at low demand, seed ${seed}`, async () => {
        const demands = [{ ...payments, requestsPerSecond: 70 }, { ...ledgerChecks, requestsPerSecond: 36 }];
        const { minUsedShare } = await runFleet(seed, { demands });
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    test(`at least 70 % of healthy upstreams get requests in every 2 s with 2 s between reports, seed ${seed}`, async () => {
        const { minUsedShare } = await runFleet(seed, { reportIntervalMs: 2_000 });
        assert.ok(minUsedShare >= minShare, `${minUsedShare}`);
    });

    for (
        const { name, demands } of [
            { name: "non-idempotent work", demands: [payments] },
            { name: "little non-idempotent work", demands: [{ ...payments, requestsPerSecond: 40 }] },
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
