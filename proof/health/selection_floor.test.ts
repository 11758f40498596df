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
const payments = { route: payment, perSecond: 127 };
const ledgerChecks = { route: ledgerCheck, perSecond: 66 };

async function runFleet(seed: number, parts: Partial<ConstructorParameters<typeof SelectionFleet>[0]>) {
    const fleet = new SelectionFleet({
        seed,
        durationMs,
        upstreams: 36,
        slots: 5,
        streams: [payments, ledgerChecks],
        lateFailShare: 0.15,
        reportMs: 250,
        ...parts,
    });
    await fleet.run();
    return measureFloor(fleet, settledMs, durationMs);
}

for (const seed of seeds) {
    test(`upstreams that work again stay suspected while no retry budget is left to try them, seed ${seed}`, async () => {
        const { leastUnsuspectedShare } = await runFleet(seed, {});
        assert.ok(leastUnsuspectedShare >= minShare, `${leastUnsuspectedShare}`);
    });

    test(`upstreams of a service without idempotent work stay suspected after a fault, seed ${seed}`, async () => {
        const { leastUnsuspectedShare } = await runFleet(seed, { streams: [payments], lateFailShare: 0.1 });
        assert.ok(leastUnsuspectedShare >= minShare, `${leastUnsuspectedShare}`);
    });

    test(`work goes only to the upstreams that were used last, seed ${seed}`, async () => {
        const { leastShare } = await runFleet(seed, {});
        assert.ok(leastShare >= minShare, `${leastShare}`);
    });

    test(`work goes only to the upstreams that were used last while demand is low, seed ${seed}`, async () => {
        const streams = [{ ...payments, perSecond: 70 }, { ...ledgerChecks, perSecond: 36 }];
        const { leastShare } = await runFleet(seed, { streams });
        assert.ok(leastShare >= minShare, `${leastShare}`);
    });

    test(`work goes only to the upstreams that were used last while reports are 2 s old, seed ${seed}`, async () => {
        const { leastShare } = await runFleet(seed, { reportMs: 2_000 });
        assert.ok(leastShare >= minShare, `${leastShare}`);
    });

    for (
        const { name, streams } of [
            { name: "run-once work", streams: [payments] },
            { name: "little run-once work", streams: [{ ...payments, perSecond: 40 }] },
            {
                name: "little work",
                streams: [{ ...payments, perSecond: 40 }, { ...ledgerChecks, perSecond: 20 }],
            },
            { name: "idempotent work", streams: [ledgerChecks] },
        ]
    ) {
        test(`upstreams stay suspected whose failure domain has no callers, ${name}, seed ${seed}`, async () => {
            const parts = { streams, lateFailShare: 0.1, callerDomains: ["domain 0"] };
            const { leastUnsuspectedShare } = await runFleet(seed, parts);
            assert.ok(leastUnsuspectedShare >= minShare, `${leastUnsuspectedShare}`);
        });
    }
}
