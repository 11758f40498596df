import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";

const { buildConfiguration, buildPage, buildPeer, buildRevision } = storePages;

/** Starts a daemon that has read revision 5 and has the rank. */
async function createFollowing(rank: number) {
    const setup = createFollowerSetup();
    setup.peers.rank = rank;
    void setup.follower.start();
    setup.store.send(buildPage(5, buildConfiguration(1, 3)));
    setup.store.probedRevision = ok(buildRevision(5));
    setup.follower.recordPeer(buildPeer(0, 0));
    await setup.time.run(500);
    setup.store.calls.length = 0;
    return setup;
}

// Probes, the end of the wait and daemons that were ahead each ended a watch whose answer was on its way.
test("nothing ends a watch while its answer arrives, however long that takes", async () => {
    const { configs, follower, store, time } = await createFollowing(0);
    store.endsWatches = false;
    store.probedRevision = ok(buildRevision(6));
    for (let bytes = 1; bytes <= 40; bytes += 1) {
        store.sendBytes(bytes);
        follower.recordPeer(buildPeer(6, 0));
        await time.run(100);
    }
    assert.deepEqual(store.calls, [], "the watch goes on");
    store.send(buildPage(6, buildConfiguration(2, 6)));
    await time.run(20);
    assert.equal(configs.getActive()?.version, 2);
});
