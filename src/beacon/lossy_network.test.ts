import assert from "node:assert/strict";
import { test } from "node:test";
import { BeaconNetwork } from "../../proof/fakes/beacon_network.ts";

/** Share of the datagrams that get lost where a network is bad. */
const lossShare = 0.03;

test("lost datagrams make daemons that live count as silent", async () => {
    const network = new BeaconNetwork({ domains: [30], upstreams: 1, seed: 6, lossShare });
    const pairs = 30 * 29;
    let silent = 0;
    let samples = 0;
    const silentSinceMs = new Map<string, number>();
    for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 100) {
        await network.time.run(100);
        for (const { exchange, id } of network.daemons) {
            for (const peer of network.daemons) {
                const key = `${id} ${peer.id}`;
                if (!exchange.isUnresponsive(peer.id)) {
                    silentSinceMs.delete(key);
                    continue;
                }
                silent += 1;
                silentSinceMs.set(key, silentSinceMs.get(key) ?? elapsedMs);
                assert.ok(elapsedMs - silentSinceMs.get(key)! < 1_000, `${key} stays silent`);
            }
        }
        samples += pairs;
    }
    assert.ok(silent < samples / 1_000, `${silent} of ${samples}`);
    network.close();
});

test("news of a fault are lost with a datagram", async () => {
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
