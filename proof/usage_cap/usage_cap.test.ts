import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Organisation } from "../../src/config/organisation.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { UsageCapFleet } from "./usage_cap_fleet.ts";

type Fault =
    | { readonly kind: "cut" | "freeze" | "lower"; readonly forMs: number; readonly share: number; }
    | { readonly kind: "restart"; readonly share: number; };

interface Step {
    readonly waitMs: number;
    readonly fault: Fault;
}

const daemons = 12;

function createOrganisation(requestsPerSecond: number, burst: number): Organisation {
    return { name: "organisation-1", keys: [], requestsPerSecond, burst, priority: undefined };
}

const share = fc.double({ min: 0.05, max: 1, noNaN: true });
const forMs = fc.integer({ min: 100, max: 7_000 });
const faults: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constantFrom("cut" as const, "freeze" as const, "lower" as const), forMs, share }),
    fc.record({ kind: fc.constant("restart" as const), share }),
);
const steps = fc.array(fc.record({ waitMs: fc.integer({ min: 0, max: 2_500 }), fault: faults }), {
    maxLength: 8,
});

/** Sends requests to random daemons at a constant rate; returns the function that stops it. */
function startSending(fleet: UsageCapFleet, seed: number, perSecond: number): () => void {
    const random = new SeededRandom(seed);
    let isEnding = false;
    const sendNext = (): void => {
        fleet.send(Math.floor(random.getFloat() * daemons));
        if (!isEnding) {
            fleet.time.start(1_000 / perSecond, sendNext);
        }
    };
    sendNext();
    return () => {
        isEnding = true;
    };
}

/** Applies one fault; the affected daemons are the first ones after `start`. */
function applyFault(fleet: UsageCapFleet, fault: Fault, start: number): void {
    const chosen = fleet.daemons.filter((_, index) =>
        (index + start) % daemons < Math.ceil(fault.share * daemons)
    );
    switch (fault.kind) {
        case "cut":
            chosen.forEach(({ id }) => fleet.setSide(id, 1));
            fleet.time.start(fault.forMs, () => chosen.forEach(({ id }) => fleet.setSide(id, 0)));
            break;
        case "freeze":
            chosen.forEach(daemon => daemon.setFrozen(true));
            fleet.time.start(fault.forMs, () => chosen.forEach(daemon => daemon.setFrozen(false)));
            break;
        case "lower":
            fleet.setCapShare(fault.share);
            break;
        case "restart":
            chosen.forEach(daemon => daemon.startNewProcess());
    }
}

/**
 * Sends three times the cap to all daemons while faults come, and returns by how much the largest sum of a window
 * exceeds the bound of the cap that was in force. A lower cap counts from its configuration on.
 */
async function measureExcess(
    seed: number,
    list: readonly Step[],
    options: { readonly perSecond: number; readonly burst: number; readonly forgetsStart?: boolean; },
): Promise<number> {
    const { burst, perSecond } = options;
    const organisation = createOrganisation(perSecond, burst);
    const fleet = new UsageCapFleet({ daemons, seed, organisation, lossShare: 0.02, ...options });
    const random = new SeededRandom(seed);
    await fleet.time.run(6_000);
    const stopSending = startSending(fleet, seed, 3 * perSecond);
    for (const { fault, waitMs } of list) {
        await fleet.time.run(waitMs);
        applyFault(fleet, fault, Math.floor(random.getFloat() * daemons));
    }
    await fleet.time.run(6_000);
    stopSending();
    fleet.close();
    return fleet.computeLargestExcess();
}

// A lender that restarts, wakes or is cut off must not lend what was lent already, or what another lends.
test("the requests of a window stay within the bound, whatever restarts, freezes or is cut off", async () => {
    await fc.assert(
        fc.asyncProperty(fc.integer(), steps, fc.constantFrom(8, 40), async (seed, list, perSecond) => {
            assert.ok(await measureExcess(seed, list, { perSecond, burst: perSecond }) <= 0);
        }),
        { numRuns: 40, seed: 28, endOnFailure: true },
    );
});

// The checker must notice a new process that lends and takes as if the former had not.
test("a process that ignores its start exceeds the bound", async () => {
    const restarts = Array.from(
        { length: 8 },
        (): Step => ({ waitMs: 600, fault: { kind: "restart", share: 1 } }),
    );
    const options = { perSecond: 40, burst: 40 };
    assert.ok(await measureExcess(1, restarts, options) <= 0);
    assert.ok(await measureExcess(1, restarts, { ...options, forgetsStart: true }) > 0);
});

// An allowance that waited in the socket buffer of a frozen borrower belongs to a window that has ended.
test("grants that arrive after their life are not used", async () => {
    const fleet = new UsageCapFleet({ daemons, seed: 3, organisation: createOrganisation(40, 40) });
    await fleet.time.run(6_000);
    fleet.daemons.forEach((_, index) => Array.from({ length: 20 }, () => fleet.send(index)));
    fleet.daemons.forEach(daemon => daemon.setFrozen(true));
    await fleet.time.run(4_000);
    const before = fleet.takenAtMs.length;
    // Lenders answer when they wake; the borrowers' asks are older than an allowance lives.
    fleet.daemons.forEach(daemon => daemon.setFrozen(false));
    await fleet.time.run(1_000);
    assert.equal(fleet.takenAtMs.length, before);
    fleet.close();
});

// Daemons that lost the store keep the old list, while the others give their places to new lenders.
test("daemons with an old list and those with the newest one stay within the bound together", async () => {
    const cases = fc.record({
        seed: fc.integer(),
        lost: fc.integer({ min: 1, max: daemons - 1 }),
        isCut: fc.boolean(),
        expiryMs: fc.integer({ min: 0, max: 3_000 }),
        lostForMs: fc.integer({ min: 1_000, max: 14_000 }),
    });
    await fc.assert(
        fc.asyncProperty(cases, async ({ expiryMs, isCut, lost, lostForMs, seed }) => {
            const fleet = new UsageCapFleet({ daemons, seed, organisation: createOrganisation(40, 40) });
            const stopSending = startSending(fleet, seed, 120);
            await fleet.time.run(6_000);
            const chosen = fleet.daemons.slice(0, lost);
            const allDaemons = fleet.list;
            for (const daemon of chosen) {
                daemon.staleList = allDaemons;
                daemon.storeLostAtMs = fleet.time.getMonotonicMs();
                fleet.setSide(daemon.id, isCut ? 1 : 0);
            }
            fleet.time.start(expiryMs, () => {
                fleet.list = new Map([...allDaemons].slice(lost));
            });
            await fleet.time.run(lostForMs);
            fleet.list = new Map(allDaemons);
            for (const daemon of chosen) {
                daemon.staleList = undefined;
                daemon.storeLostAtMs = undefined;
                fleet.setSide(daemon.id, 0);
            }
            await fleet.time.run(12_000);
            stopSending();
            fleet.close();
            assert.ok(fleet.computeLargestExcess() <= 0);
        }),
        { numRuns: 30, seed: 28, endOnFailure: true },
    );
});
