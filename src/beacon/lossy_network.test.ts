import assert from "node:assert/strict";
import { test } from "node:test";
import { BeaconNetwork } from "../../proof/fakes/beacon_network.ts";

/** Fraction of the datagrams that a network with high packet loss drops. */
const lossShare = 0.03;

test("lost datagrams rarely make a live daemon count as unresponsive, and never for a second", async () => {
    const network = new BeaconNetwork({ domains: [30], upstreams: 1, seed: 6, lossShare });
    const pairs = 30 * 29;
    let unresponsive = 0;
    let samples = 0;
    const unresponsiveSinceMs = new Map<string, number>();
    for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 100) {
        await network.time.run(100);
        for (const { exchange, id } of network.daemons) {
            for (const peer of network.daemons) {
                const key = `${id} ${peer.id}`;
                if (!exchange.isUnresponsive(peer.id)) {
                    unresponsiveSinceMs.delete(key);
                    continue;
                }
                unresponsive += 1;
                unresponsiveSinceMs.set(key, unresponsiveSinceMs.get(key) ?? elapsedMs);
                assert.ok(elapsedMs - unresponsiveSinceMs.get(key)! < 1_000, `${key} stays unresponsive`);
            }
        }
        samples += pairs;
    }
    assert.ok(unresponsive < samples / 1_000, `${unresponsive} of ${samples}`);
    network.close();
});

test("a condition change reaches all daemons although datagrams are lost", async () => {
    for (let seed = 1; seed <= 5; seed += 1) {
        const network = new BeaconNetwork({ domains: [58, 30], upstreams: 1, seed, lossShare });
        await network.time.run(3_000);
        const [owner, ...others] = network.daemons;
        owner!.setFaultProbability(0.7);
        await network.time.run(2_000);
        const uninformed = others.filter(({ latestStates }) =>
            (latestStates.get(owner!.upstreamIds[0]!)?.state.faultProbability ?? 0) < 0.5
        );
        assert.deepEqual(uninformed.map(({ id }) => id), [], `seed ${seed}`);
        network.close();
    }
});
