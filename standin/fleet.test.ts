import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "./fleet.ts";
import { waitUntil } from "./wait_until.ts";

function countProcesses(): number {
    return process.getActiveResourcesInfo().filter(name => name === "ProcessWrap").length;
}

test("a fleet that misses its start time-out ends its processes, so that the test run can exit", async () => {
    const before = countProcesses();
    const start = Fleet.start({
        configuration: "",
        services: ["accounts"],
        daemons: 1,
        slots: 1,
        failureDomains: ["zone-a"],
        startTimeoutMs: 1,
    });
    await assert.rejects(start, /platform started/);
    await waitUntil("all processes ended", 1_000, () => countProcesses() === before);
});
