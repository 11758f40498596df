import assert from "node:assert/strict";
import { test } from "node:test";
import { BeaconNetwork } from "../../proof/fakes/beacon_network.ts";
import type { Beacon } from "./beacon.ts";
import { BeaconKind } from "./beacon_kind.ts";
import type { UpstreamReport } from "./upstream_report.ts";

function createReport(upstreamId: string, sequence: number, ageMs: number, leaving: boolean): UpstreamReport {
    const state = {
        upstreamId,
        slots: 4,
        running: 0,
        queuedShort: 0,
        queuedLong: 0,
        waitShortMs: 0,
        waitLongMs: 0,
        healthScore: 0,
        leaving,
        faultProbability: 0.1,
    };
    return { state, sequence, ageMs };
}

function createBeacon(daemonId: string, incarnation: string, reports: readonly UpstreamReport[]): Beacon {
    return {
        kind: BeaconKind.Ack,
        daemonId,
        incarnation,
        reports,
        counts: [],
        revision: { era: 0, revision: 1 },
        suspects: [],
    };
}

test("a late report of a replaced process does not mark the upstream of the new process as leaving", async () => {
    const network = new BeaconNetwork({ domains: [3], upstreams: 1, seed: 1 });
    const [receiver, owner, relay] = network.daemons;
    const upstreamId = owner!.upstreamIds[0]!;
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "old", []));
    await network.time.run(100);
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "new", []));
    const late = createReport(upstreamId, 5, 50, true);
    receiver!.exchange.handleBeacon(createBeacon(relay!.id, "relay", [late]));
    assert.notEqual(receiver!.latestStates.get(upstreamId)?.state.leaving, true);
    network.close();
});

test("reports of a restarted owner are accepted although its clock was set back before the restart", () => {
    const network = new BeaconNetwork({ domains: [3], upstreams: 1, seed: 1 });
    const [receiver, owner] = network.daemons;
    const upstreamId = owner!.upstreamIds[0]!;
    const before = createReport(upstreamId, 2e12, 0, true);
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "old", [before]));
    assert.equal(receiver!.latestStates.get(upstreamId)?.state.leaving, true);
    const after = createReport(upstreamId, 1e12, 0, false);
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "new", [after]));
    assert.equal(receiver!.latestStates.get(upstreamId)?.state.leaving, false);
    network.close();
});

test("reports of a restarted owner with a clock set back are accepted when an ack without reports arrives first", () => {
    const network = new BeaconNetwork({ domains: [3], upstreams: 2, seed: 1 });
    const [receiver, owner] = network.daemons;
    const before = owner!.upstreamIds.map(id => createReport(id, 2e12, 0, true));
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "old", before));
    receiver!.exchange.handleBeacon(createBeacon(owner!.id, "new", []));
    // A probe contains the state of one owned upstream.
    for (const id of owner!.upstreamIds) {
        receiver!.exchange.handleBeacon(createBeacon(owner!.id, "new", [createReport(id, 1e12, 0, false)]));
    }
    const leaving = owner!.upstreamIds.map(id => receiver!.latestStates.get(id)?.state.leaving);
    assert.deepEqual(leaving, [false, false]);
    network.close();
});
