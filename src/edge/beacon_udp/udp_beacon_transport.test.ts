import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordingSinks } from "../../../proof/control/fakes/recording_sinks.ts";
import { findFreePorts } from "../../../standin/find_free_ports.ts";
import type { Beacon } from "../../beacon/beacon.ts";
import { BeaconKind } from "../../beacon/beacon_kind.ts";
import { UdpBeaconTransport } from "./udp_beacon_transport.ts";

// An error of the encoder would end the round of probes, and the daemon would count as unresponsive.
test("a beacon that does not fit its message is counted and does not end the round of probes", async t => {
    const metrics = new RecordingSinks();
    const transport = new UdpBeaconTransport(metrics);
    t.after(() => transport.close());
    const load = { slots: 1, running: 0, queuedShort: 0, queuedLong: 0, waitShortMs: 1e39, waitLongMs: 0 };
    const state = { upstreamId: "u1", ...load, healthScore: 0, leaving: false, faultProbability: 0 };
    const reports = [{ state, sequence: 1, ageMs: 0 }];
    const ids = { daemonId: "d1", incarnation: "i1" };
    const beacon: Beacon = {
        kind: BeaconKind.Probe,
        ...ids,
        reports,
        counts: [],
        revision: { era: 0, revision: 1 },
        suspects: [],
    };
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const received = new Promise<Beacon>(resolve => {
        void transport.open(address, resolve);
    });
    transport.send(address, beacon);
    transport.send(address, { ...beacon, reports: [] });
    assert.deepEqual((await received).reports, []);
    assert.equal(metrics.counts.get("beacon.not_encodable"), 1);
});

test("a claim that is rounded does not become newer, and an era, a large change and the number of a probe arrive", async t => {
    const transport = new UdpBeaconTransport(new RecordingSinks());
    t.after(() => transport.close());
    const beacon: Beacon = {
        kind: BeaconKind.Ack,
        daemonId: "d1",
        incarnation: "i1",
        reports: [],
        counts: [],
        revision: { era: 3, revision: 7 },
        hasLargeChange: true,
        storeAgeMs: 1,
        claim: { version: 9, ageMs: 100.2 },
        probeNumber: 2 ** 47 + 1,
        suspects: [],
    };
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const received = new Promise<Beacon>(resolve => {
        void transport.open(address, resolve);
    });
    transport.send(address, beacon);
    assert.deepEqual(await received, { ...beacon, claim: { version: 9, ageMs: 101 } });
});
