import assert from "node:assert/strict";
import { test } from "node:test";
import { findFreePorts } from "./find_free_ports.ts";

/** First local port of outgoing connections, by the default of Linux. */
const firstEphemeralPort = 32_768;

test("the ports of a test fleet are not taken by outgoing connections before its daemons bind them", async () => {
    const ports = await findFreePorts(40);
    assert.equal(new Set(ports).size, 40);
    assert.deepEqual(ports.filter(port => port >= firstEphemeralPort), []);
});
