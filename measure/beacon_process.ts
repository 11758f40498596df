/**
 * Measures the processor time of beacons in a daemon that has a process of its own; the others of its failure domain
 * share another process.
 *
 * Usage: `node --import tsx measure/beacon_process.ts SIZE REQUESTS_A_SECOND`
 *
 * @module
 */
import { fork } from "node:child_process";
import { once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import { BeaconFleet } from "./beacons/beacon_fleet.ts";

const [size = 30, rate = 5] = process.argv.slice(2, 4).map(Number);
const isAlone = process.argv[4] === "alone";
const samples = 5;
const sampleMs = 2_000;

const fleet = isAlone ? new BeaconFleet(size, 0, 1) : new BeaconFleet(size, 1, size);
await fleet.start(rate);
if (isAlone) {
    const results: string[] = [];
    for (let sample = 0; sample < samples; sample += 1) {
        const before = process.cpuUsage();
        const startedAtMs = performance.now();
        await wait(sampleMs);
        const { system, user } = process.cpuUsage(before);
        results.push(((user + system) / (performance.now() - startedAtMs)).toFixed(0));
    }
    console.log(`${size} daemons, ${rate} requests a second: ${results.join(", ")} ms a second`);
}
else {
    const child = fork(import.meta.filename, [`${size}`, `${rate}`, "alone"]);
    await once(child, "exit");
}
process.exit();
