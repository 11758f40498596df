import { err } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { StoreChange } from "./store_change.ts";
import { StoreChangeKind } from "./store_change_kind.ts";

const { buildConfiguration, buildPage, buildPeer, buildRemoval, buildUpstream } = storePages;
const unreachable = err(createFailure(Code.PlatformUnreachable));

test("the start of a daemon completes only with the first configuration", async () => {
    const { follower, store, time, configs } = createFollowerSetup();
    let started = false;
    void follower.start().then(() => {
        started = true;
    });
    store.send(buildPage(5, buildUpstream("u1", 4)));
    await time.run(1_000);
    assert.equal(started, false);
    store.send(buildPage(6, buildConfiguration(1, 6)));
    await time.run(1_000);
    assert.deepEqual([started, configs.getActive()?.version], [true, 1]);
});

test("watches continue from the revision of the last page, and an older change does not replace a newer one", async () => {
    const { follower, store, time, listIds } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4)),
        buildPage(7, buildRemoval("u1", 6), buildUpstream("u2", 7)),
        buildPage(8, buildUpstream("u1", 4)),
    );
    await time.run(2_000);
    assert.deepEqual(store.calls, ["all", "watch 5", "watch 7", "watch 8"]);
    assert.equal(listIds(), "u2");
});

test("a store that no longer has the history is read completely, and unlisted upstreams are removed", async () => {
    const { follower, store, time, listIds } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        err(createFailure(Code.PlatformHistoryGone)),
        buildPage(9, buildConfiguration(1, 3), buildUpstream("u2", 5)),
    );
    await time.run(2_000);
    assert.deepEqual(store.calls, ["all", "watch 5", "all", "watch 9"]);
    assert.equal(listIds(), "u2");
});

test("an outage changes nothing, and a configuration older than the one in force is rejected", async () => {
    const { follower, store, time, configs, listIds } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(4, 3), buildUpstream("u1", 4)),
        unreachable,
        unreachable,
        buildPage(6, buildConfiguration(3, 6)),
    );
    await time.run(5_000);
    assert.deepEqual([configs.getActive()?.version, listIds()], [4, "u1"]);
});

test("entries that expired during an outage are kept until their upstreams had time to write them again", async () => {
    const { follower, store, time, listIds } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        ...Array.from({ length: 8 }, () => unreachable),
        buildPage(8, buildRemoval("u1", 7), buildRemoval("u2", 8)),
    );
    await time.run(5_500);
    assert.equal(store.calls.length, 11, "all calls of the outage were made");
    assert.equal(listIds(), "u1,u2");
    store.send(buildPage(9, buildUpstream("u1", 9)));
    await time.run(2_500);
    assert.equal(listIds(), "u1");
});

test("an upstream that leaves without an outage of the store is removed immediately", async () => {
    const { follower, store, time, listIds } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        buildPage(8, buildRemoval("u1", 7), buildUpstream("u2", 8, true)),
    );
    await time.run(1_000);
    assert.equal(listIds(), "");
});

test("a stale watch is reopened when another daemon has a newer revision, so that a change is in force in time", async () => {
    const { configs, follower, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    store.endsWatches = false;
    await time.run(1_000);
    assert.deepEqual(store.calls, ["all", "watch 5"]);
    follower.recordPeer(buildPeer(7));
    follower.recordPeer(buildPeer(8));
    await time.run(700);
    assert.deepEqual(store.calls, ["all", "watch 5"]);
    await time.run(300);
    assert.deepEqual(store.calls, ["all", "watch 5", "watch 5"]);
    store.endsWatches = true;
    store.send(buildPage(8, buildConfiguration(2, 7)));
    await time.run(100);
    assert.deepEqual([configs.getActive()?.version, follower.getRevision().revision], [2, 8]);
    await time.run(5_000);
    assert.deepEqual(
        store.calls,
        ["all", "watch 5", "watch 5", "watch 8", "watch 8", "watch 8"],
        "a daemon that is not behind waits to the end of each watch",
    );
});

test("an upstream that leaves while only this daemon's watch is stale is removed immediately", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)));
    await time.run(1_000);
    follower.recordPeer(buildPeer(7));
    await time.run(900);
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(100);
    assert.equal(listIds(), "u2");
});

test("an upstream that leaves during one failed watch is removed immediately, as no entry can expire in that time", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        unreachable,
        buildPage(7, buildRemoval("u1", 7)),
    );
    await time.run(1_000);
    assert.equal(listIds(), "u2");
});

// Review case 4: the next change counted as the end of an outage, and its removals were held back for 2 s.
test("a short outage of the store ends with the next answer, so that an upstream that leaves later is removed immediately", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        unreachable,
        unreachable,
    );
    await time.run(2_300);
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(100);
    assert.equal(listIds(), "u2");
});

test("entries are kept for 2 s from the return of the store and not from the next change", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        ...Array.from({ length: 8 }, () => unreachable),
    );
    while (store.calls.length < 10) {
        await time.run(10);
    }
    await time.run(1_900);
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(50);
    assert.equal(listIds(), "u1,u2");
    await time.run(100);
    assert.equal(listIds(), "u2");
});

test("entries are kept after a call that timed out, since the outage may have begun when the call started", async () => {
    const { follower, listIds, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4)));
    store.endsWatches = false;
    await time.run(13_000);
    while (!store.hasPending()) {
        await time.run(10);
    }
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(100);
    assert.equal(listIds(), "u1");
    await time.run(2_500);
    assert.equal(listIds(), "");
});

test("a change that cannot be applied hides no other change and does not end the following of the store", async () => {
    const { follower, store, time, configs, listIds } = createFollowerSetup();
    const update = configs.update.bind(configs);
    configs.update = (...parameters) => {
        if (parameters[0].version === 2) {
            throw new RangeError("the value is nested too deeply");
        }
        return update(...parameters);
    };
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 5)));
    await time.run(1_000);
    store.send(buildPage(7, buildConfiguration(2, 6), buildUpstream("u1", 7)));
    await time.run(1_000);
    assert.equal(listIds(), "u1");
    store.send(buildPage(8, buildUpstream("u2", 8)));
    await time.run(1_000);
    assert.equal(listIds(), "u1,u2");
});

test("an upstream whose entry another writer made unreadable is not used, and the others hold", async () => {
    const { follower, store, time, listIds } = createFollowerSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)));
    await time.run(1_000);
    const odd: StoreChange = {
        kind: StoreChangeKind.Unreadable,
        revision: 6,
        key: "upstreams/u1",
        detail: "a port out of range",
        upstreamId: "u1",
    };
    store.send(buildPage(6, odd));
    await time.run(1_000);
    assert.equal(listIds(), "u2");
    store.send(buildPage(7, buildUpstream("u1", 7)));
    await time.run(1_000);
    assert.equal(listIds(), "u1,u2");
});
