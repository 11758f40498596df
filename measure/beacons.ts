/**
 * Measures the processor time that a daemon spends on beacons, by the size of its failure domain and its requests.
 *
 * Usage: `node --import tsx measure/beacons.ts [SIZE...]`
 *
 * @module
 */
import { setTimeout as wait } from "node:timers/promises";
import { BeaconFleet } from "./beacons/beacon_fleet.ts";

const warmUpMs = 3_000;
const measureMs = 5_000;
const requestRates = [0, 3, 10];
const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [10, 30, 60];

console.log("daemons, requests a second each: processor ms a second of a daemon; user, system");
for (const size of sizes) {
    for (const rate of requestRates) {
        const fleet = new BeaconFleet(size);
        await fleet.start(rate);
        await wait(warmUpMs);
        const before = process.cpuUsage();
        const startedAtMs = performance.now();
        await wait(measureMs);
        const { system, user } = process.cpuUsage(before);
        const scale = 1 / size / (performance.now() - startedAtMs);
        const [userMs, systemMs] = [user * scale, system * scale];
        fleet.close();
        console.log(
            `${size}, ${rate}: ${(userMs + systemMs).toFixed(2)}; ${userMs.toFixed(2)}, ${
                systemMs.toFixed(2)
            }`,
        );
    }
}
