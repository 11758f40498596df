import assert from "node:assert/strict";
import { test } from "node:test";
import { computeControlBytes } from "./compute_control_bytes.ts";
import { SpreadFleet } from "./spread_fleet.ts";

const target = { seed: 1, daemons: 1_800, domains: 31, regions: 8, localShare: 0.75, peersPerRound: 1 };

test("a change reaches 1,800 daemons within 16 s although one link in ten drops all messages", async () => {
    const { spreadMs, reached } = await new SpreadFleet({ ...target, lostShare: 0.1 }).measureSpread();
    assert.equal(reached, 1_800);
    assert.ok(spreadMs <= 16_000, `${spreadMs} ms`);
});

test("gossip takes at most 6 KB/s per daemon at the target rate of changes", async () => {
    const idle = await new SpreadFleet({ ...target, lostShare: 0 }).measureIdleBytes();
    assert.ok(computeControlBytes(idle) <= 6_000, `${computeControlBytes(idle)} bytes per second`);
});
