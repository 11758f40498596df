/**
 * Large configurations over slow links: the time for which a read lasts is not the time for which the store is silent.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreFleet } from "../../proof/control/fakes/store_fleet.ts";

/** 7 Mbit/s, the slowest links of the platform's deployments, and 140 Mbit/s, the fastest of the same deployment. */
const slowRate = 875;
const fastRate = 17_500;
/** The largest value, 1,048,576 bytes, in base64. */
const largestLength = 1_398_104;
/** Time within which the platform wants a change in force where links are that slow. */
const applyMs = 2_500;

async function openFleet(bytesPerMs: readonly number[], length = 1_000) {
    const fleet = new StoreFleet({ bytesPerMs, applyMs });
    await fleet.start(length);
    return fleet;
}

function checkVersions(fleet: StoreFleet, version: number, message: string): void {
    assert.deepEqual(fleet.listVersions(), fleet.listVersions().map(() => version), message);
}

// Daemons that do not watch the store gave each read up after 600 ms, half a megabyte at 7 Mbit/s, for 8 s and more.
test("a change of the largest configuration is in force in time at every daemon on the slowest links", async () => {
    for (
        const rates of [[slowRate, slowRate, slowRate, slowRate], [slowRate, fastRate, slowRate, fastRate]]
    ) {
        const fleet = await openFleet(rates);
        for (let change = 0; change < 4; change += 1) {
            const version = fleet.write(largestLength);
            await fleet.time.run(applyMs);
            checkVersions(fleet, version, `links ${rates.join()}, change ${change}`);
            await fleet.time.run(777);
        }
        fleet.close();
    }
});

// Eight changes that add 350 routes each, 1.2 s apart: 85,000 characters more each time.
test("each of several growing configurations is in force in time although they follow each other quickly", async () => {
    const fleet = await openFleet([slowRate, slowRate, slowRate, slowRate]);
    const periodMs = 1_200;
    const versions: number[] = [];
    for (let change = 1; change <= 16; change += 1) {
        versions.push(fleet.write(85_000 * Math.min(change, 8)));
        await fleet.time.run(periodMs);
        const elapsedChanges = Math.ceil((applyMs - periodMs) / periodMs);
        const due = versions.at(-1 - elapsedChanges);
        if (due !== undefined) {
            const oldest = Math.min(...fleet.listVersions().map(version => version ?? 0));
            assert.ok(oldest >= due, `after change ${change}, a daemon has version ${oldest}, due is ${due}`);
        }
    }
    await fleet.time.run(applyMs);
    checkVersions(fleet, versions.at(-1)!, "after the last change");
    fleet.close();
});

// A daemon that the store had refused read the same 27 MB of history again and again.
test("a daemon that has missed many versions of a large configuration has the newest in time after the store serves it", async () => {
    for (const rate of [slowRate, 125_000]) {
        const fleet = await openFleet([rate, rate, rate], largestLength);
        fleet.stores[0]!.isServed = false;
        for (let change = 0; change < 24; change += 1) {
            fleet.write(largestLength);
            await fleet.time.run(330);
        }
        await fleet.time.run(3_000);
        fleet.stores[0]!.isServed = true;
        // It is in touch with the platform again 3 s later.
        await fleet.time.run(3_000 + applyMs);
        checkVersions(fleet, 25, `${rate} bytes a millisecond`);
        fleet.close();
    }
});

test("a connection that goes silent in the middle of a large answer is noticed, and the change is read again", async () => {
    const fleet = await openFleet([slowRate, slowRate, slowRate]);
    const version = fleet.write(largestLength);
    await fleet.time.run(800);
    fleet.stores.forEach(store => {
        store.isSilent = true;
    });
    await fleet.time.run(50);
    fleet.stores.forEach(store => {
        store.isSilent = false;
    });
    // The time in which a silent connection must be noticed, and that within which a change must be in force.
    await fleet.time.run(3_000 + applyMs);
    checkVersions(fleet, version, "after the silence");
    fleet.close();
});
