/**
 * Large configurations over slow links: the time for which a read lasts is not the time for which the store is silent.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreFleet } from "../../proof/control/fakes/store_fleet.ts";

/** 7 Mbit/s, the slowest links of the platform's deployments. */
const slowRate = 875;
/** A configuration of 2,800 routes in base64. */
const largeLength = 670_000;
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
test("a change of a large configuration is in force in time at every daemon on the slowest links", async () => {
    const fleet = await openFleet([slowRate, slowRate, slowRate]);
    for (let change = 0; change < 4; change += 1) {
        const version = fleet.write(largeLength);
        await fleet.time.run(applyMs);
        checkVersions(fleet, version, `change ${change}`);
        await fleet.time.run(777);
    }
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
