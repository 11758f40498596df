import assert from "node:assert/strict";
import { test } from "node:test";
import { BeaconNetwork } from "../../proof/fakes/beacon_network.ts";

test("condition changes of an upstream that is no longer owned are not sent to other failure domains", async () => {
    const network = new BeaconNetwork({ domains: [1, 3], upstreams: 1, seed: 1 });
    const [owner] = network.daemons;
    owner!.setFaultProbability(0.7);
    owner!.removeUpstreams();
    await network.time.run(1_000);
    owner!.takeTraffic();
    await network.time.run(5_000);
    assert.equal(owner!.takeTraffic().datagrams, 0);
    network.close();
});

test("a flapping upstream causes no more beacons than the limits of condition changes allow", async () => {
    const network = new BeaconNetwork({ domains: [30, 3], upstreams: 1, seed: 2 });
    const [owner] = network.daemons;
    await network.time.run(2_000);
    const calm = await measureDatagrams(network, () => undefined);
    let isFaulty = false;
    const flapping = await measureDatagrams(network, () => {
        isFaulty = !isFaulty;
        owner!.setFaultProbability(isFaulty ? 0.7 : 0.1);
    });
    // Sent: 4 a second and 12 at once to the local failure domain, and one in 100 ms to the other one.
    // Received: 4 a second.
    assert.ok(flapping - calm <= 10 * (4 + 10 + 4) + 12, `${flapping} with flaps, ${calm} without`);
    network.close();
});

/** Datagrams of the first daemon in 10 s, with a call of `run` every 20 ms. */
async function measureDatagrams(network: BeaconNetwork, run: () => void): Promise<number> {
    const [owner] = network.daemons;
    owner!.takeTraffic();
    for (let step = 0; step < 500; step += 1) {
        run();
        await network.time.run(20);
    }
    return owner!.takeTraffic().datagrams;
}
