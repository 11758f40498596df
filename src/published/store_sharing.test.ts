import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";

const { buildConfiguration, buildPage, buildPeer, buildRemoval, buildRevision, buildUpstream } = storePages;

/** Starts a daemon that watches nothing itself and has read revision 5. */
async function createFollowing(storeAgeMs = 0) {
    const setup = createFollowerSetup();
    setup.peers.rank = 2;
    void setup.follower.start();
    setup.store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4)));
    setup.follower.recordPeer(buildPeer(0, storeAgeMs));
    await setup.time.run(500);
    setup.store.calls.length = 0;
    return setup;
}

test("a daemon that is no reader puts the changes of another daemon in force without a call to the store", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    store.peerChanges = [buildRemoval("u1", 6), buildUpstream("u2", 7)];
    peers.changes = ok({ revision: buildRevision(7), items: ["0", "1"], recoveryMs: 0, complete: false });
    follower.recordPeer(buildPeer(7, 0));
    await time.run(20);
    assert.deepEqual([listIds(), follower.getRevision()], ["u2", buildRevision(7)]);
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 500) {
        follower.recordPeer(buildPeer(7, 300));
        await time.run(500);
    }
    assert.deepEqual([store.calls, peers.fetches], [[], ["peer:1 5"]]);
});

test("a daemon reads the store itself in time when no daemon of its failure domain reaches it", async () => {
    const { listIds, store, time } = await createFollowing();
    store.send(buildPage(6, buildUpstream("u2", 6)));
    // Two thirds of the 2 s within which a change must be in force, since the last contact.
    await time.run(1_333 - 500);
    assert.equal(listIds(), "u1,u2");
});

test("a daemon reads the store itself in time when no other daemon sends it the changes that it lacks", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    follower.recordPeer(buildPeer(6, 0));
    store.send(buildPage(6, buildUpstream("u2", 6)));
    await time.run(400);
    assert.deepEqual([listIds(), store.calls], ["u1,u2", ["watch 5"]]);
    assert.equal(peers.announcements, 1);
});

test("the standby reads the store before the others when the daemon that watches it is silent", async () => {
    const { listIds, peers, store, time } = await createFollowing();
    peers.rank = 1;
    store.send(buildPage(6, buildUpstream("u2", 6)));
    await time.run(900 - 500);
    assert.deepEqual([listIds(), peers.announcements], ["u1,u2", 1]);
});

test("an outage that another daemon noticed keeps the entries that expired in it", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    store.peerChanges = [buildRemoval("u1", 6)];
    peers.changes = ok({ revision: buildRevision(6), items: ["0"], recoveryMs: 2_000, complete: false });
    follower.recordPeer(buildPeer(6, 0));
    await time.run(20);
    assert.equal(listIds(), "u1");
});

test("daemons that fetch removals after an outage hold them back only as long as the daemon that noticed it", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    store.peerChanges = [buildRemoval("u1", 6)];
    peers.changes = ok({ revision: buildRevision(6), items: ["0"], recoveryMs: 300, complete: false });
    follower.recordPeer(buildPeer(6, 0));
    await time.run(20);
    assert.equal(listIds(), "u1");
    await time.run(300);
    assert.equal(listIds(), "");
});

test("an outage ends when another daemon reaches the store, so that an upstream that leaves later is removed immediately", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    store.send(...Array.from({ length: 6 }, () => err(createFailure(Code.PlatformUnreachable))));
    while (store.calls.length < 6) {
        await time.run(10);
    }
    for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 500) {
        follower.recordPeer(buildPeer(5, 0));
        await time.run(500);
    }
    peers.changes = err(createFailure(Code.PlatformHistoryGone));
    store.send(buildPage(6, buildRemoval("u1", 6)));
    follower.recordPeer(buildPeer(6, 0));
    await time.run(400);
    assert.deepEqual([store.calls.length, listIds()], [7, ""]);
});

// Daemons that the store refused kept upstreams that were gone for 2 s, again and again, and sent requests to them.
test("a daemon that the store refuses while it answers others removes upstreams immediately", async () => {
    const { follower, listIds, peers, store, time } = await createFollowing();
    peers.rank = 0;
    store.send(...Array.from({ length: 30 }, () => err(createFailure(Code.PlatformUnreachable))));
    let longestRecoveryMs = 0;
    for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 100) {
        // The others read the store every 900 ms, and this daemon learns of it 200 ms later.
        follower.recordPeer(buildPeer(5, 200 + elapsedMs % 900));
        await time.run(100);
        longestRecoveryMs = Math.max(longestRecoveryMs, follower.findChanges(buildRevision(5))!.recoveryMs);
    }
    assert.equal(longestRecoveryMs, 0);
    store.peerChanges = [buildRemoval("u1", 6)];
    peers.changes = ok({ revision: buildRevision(6), items: ["0"], recoveryMs: 0, complete: false });
    follower.recordPeer(buildPeer(6, 300));
    await time.run(1_100);
    assert.equal(listIds(), "");
});

test("a reader announces what it reads and sends it to daemons that have read less", async () => {
    const { follower, peers, store, time } = createFollowerSetup();
    void follower.start();
    store.send(ok({ revision: buildRevision(5), changes: [buildConfiguration(1, 3)], items: ["all"] }));
    await time.run(500);
    assert.equal(peers.announcements, 0, "at its start it reads nothing that the others lack");
    store.send(ok({ revision: buildRevision(6), changes: [buildUpstream("u1", 6)], items: ["change"] }));
    await time.run(20);
    assert.equal(peers.announcements, 1);
    const parts = { revision: buildRevision(6), recoveryMs: 0 };
    assert.deepEqual(follower.findChanges(buildRevision(5)), {
        ...parts,
        items: ["change"],
        complete: false,
    });
    assert.deepEqual(follower.findChanges(buildRevision(4)), {
        ...parts,
        items: ["all", "change"],
        complete: true,
    });
    await time.run(21_000);
    assert.equal(follower.findChanges(buildRevision(5)), undefined, "old pages are not kept");
});

// The store forgot its history; the others kept an old configuration for 4 s after the reader had the new one.
test("after the store has lost its history, the others get all values from the daemon that has read them", async () => {
    const reader = createFollowerSetup();
    void reader.follower.start();
    reader.store.send(
        buildPage(5, buildConfiguration(1, 3)),
        err(createFailure(Code.PlatformHistoryGone)),
        ok({ revision: buildRevision(9), changes: [buildConfiguration(2, 8)], items: ["0", "1"] }),
    );
    await reader.time.run(1_000);
    assert.equal(reader.peers.announcements, 1);
    const { configs, follower, listIds, peers, store, time } = await createFollowing();
    store.peerChanges = [buildConfiguration(2, 8), buildUpstream("u2", 9)];
    peers.changes = ok(reader.follower.findChanges(buildRevision(5))!);
    follower.recordPeer(buildPeer(9, 0));
    await time.run(20);
    assert.deepEqual([configs.getActive()?.version, listIds(), store.calls], [2, "u2", []]);
});

test("all values are read when probes of the store find a revision that the watch does not deliver", async () => {
    const { configs, follower, peers, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    await time.run(500);
    store.probedRevision = ok(buildRevision(5));
    await time.run(1_000);
    const { contacts } = peers;
    assert.ok(contacts > 0 && follower.getStoreAgeMs()! <= 500, "probes confirm that the store is reachable");
    store.probedRevision = ok(buildRevision(6));
    store.endsWatches = false;
    await time.run(800);
    assert.equal(peers.contacts, contacts, "a daemon that lacks a change does not report a contact");
    assert.deepEqual(store.calls, ["all", "watch 5", "all"]);
    store.send(buildPage(6, buildConfiguration(2, 6)));
    await time.run(20);
    assert.equal(configs.getActive()?.version, 2);
});

// Review case 3: cheap reads described the store of 2 s before and hid that the watch delivered nothing.
test("a change is in force in time after the watch has gone silent while probes return an older state", async () => {
    const { configs, follower, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    store.probedRevision = ok(buildRevision(5));
    await time.run(500);
    store.removePending();
    store.send(buildPage(6, buildConfiguration(2, 6)));
    // The time in which a silent connection must be noticed.
    await time.run(3_000);
    assert.equal(configs.getActive()?.version, 2);
});

// The standby read the store itself after each change, because the next probe came 900 ms after the last contact.
test("the store is probed again in time after a change, so that the standby need not read it", async () => {
    const { follower, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    store.probedRevision = ok(buildRevision(5));
    await time.run(2_000);
    store.probedRevision = ok(buildRevision(6));
    store.send(buildPage(6, buildConfiguration(2, 6)));
    for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 10) {
        await time.run(10);
        assert.ok(follower.getStoreAgeMs()! <= 510, `${follower.getStoreAgeMs()} ms after ${elapsedMs} ms`);
    }
});

test("a silent watch is no outage of the store, so an upstream that leaves then is removed immediately", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)));
    await time.run(500);
    store.removePending();
    store.send(buildPage(6, buildRemoval("u1", 6)));
    await time.run(3_000);
    assert.equal(listIds(), "u2");
});

test("large values are not passed on, because all daemons of a failure domain ask for them at the same time", async () => {
    const { follower, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    await time.run(500);
    store.send(
        ok({ revision: buildRevision(6), changes: [buildConfiguration(2, 6)], items: ["x".repeat(500_000)] }),
    );
    await time.run(20);
    const changes = follower.findChanges(buildRevision(5))!;
    assert.deepEqual([changes.items, changes.tooLarge, changes.revision], [[], true, buildRevision(6)]);
});
