import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import { maxSharedLength } from "./max_shared_length.ts";

const { buildConfiguration, buildPage, buildPeer, buildRevision, buildUpstream } = storePages;

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

// The others waited until the watching daemon had read the change, and then read it for as long again.
test("a daemon announces a large change while it reads it, and the others read all values at once", async () => {
    const watching = await createFollowing(0);
    watching.store.sendBytes(maxSharedLength);
    assert.deepEqual([watching.peers.announcements, watching.follower.hasLargeChange()], [0, false]);
    watching.store.sendBytes(maxSharedLength + 1);
    watching.store.sendBytes(maxSharedLength + 2);
    assert.deepEqual([watching.peers.announcements, watching.follower.hasLargeChange()], [1, true]);
    const { configs, follower, peers, store, time } = await createFollowing(2);
    follower.recordPeer({ ...buildPeer(5, 0), hasLargeChange: true });
    store.send(buildPage(6, buildConfiguration(2, 6)));
    await time.run(1);
    assert.deepEqual([configs.getActive()?.version, store.calls, peers.announcements], [2, ["all"], 0]);
    // Later beacons of the daemon that still reads the change it has announced.
    follower.recordPeer({ ...buildPeer(5, 0), hasLargeChange: true });
    await time.run(400);
    assert.deepEqual(store.calls, ["all"]);
});

// A daemon waited 300 ms for changes that no daemon would send.
test("a daemon that hears that changes are too large to be passed on reads all values at once", async () => {
    const { configs, follower, peers, store, time } = await createFollowing(2);
    peers.changes = ok({
        revision: buildRevision(6),
        items: [],
        complete: false,
        recoveryMs: 0,
        tooLarge: true,
    });
    store.send(buildPage(6, buildConfiguration(2, 6)));
    follower.recordPeer(buildPeer(6, 0));
    await time.run(1);
    assert.deepEqual([configs.getActive()?.version, store.calls], [2, ["all"]]);
});

// A daemon that has read all values holds no changes; the others read a large configuration again for each small one.
test("a daemon reads only the changes when another one does not know how large they are", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing(2);
    peers.changes = ok({
        revision: buildRevision(6),
        items: [],
        complete: true,
        recoveryMs: 0,
        tooLarge: true,
    });
    store.send(buildPage(6, buildUpstream("u1", 6)));
    follower.recordPeer(buildPeer(6, 0));
    await time.run(1);
    assert.deepEqual([listIds(), store.calls], ["u1", ["watch 5"]]);
});
