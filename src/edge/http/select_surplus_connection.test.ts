import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionPhase } from "./connection_phase.ts";
import { selectSurplusConnection } from "./select_surplus_connection.ts";

const { Answering, Idle, Reading, Running, Unused } = ConnectionPhase;

for (
    const { name, phases, expected } of [
        {
            name: "the oldest unused one, before idle ones",
            phases: [Running, Idle, Unused, Unused],
            expected: 2,
        },
        {
            name: "an idle one before one whose request is not complete",
            phases: [Reading, Running, Idle],
            expected: 2,
        },
        { name: "one that takes its answer last", phases: [Running, Answering, Answering], expected: 1 },
        { name: "none while a request runs on each", phases: [Running, Running], expected: undefined },
    ]
) {
    test(`of too many connections, ${name} is closed, so that no running request is cut`, () => {
        const connections = phases.map((phase, index) => ({ index, getPhase: () => phase }));
        assert.equal(selectSurplusConnection(connections)?.index, expected);
    });
}
