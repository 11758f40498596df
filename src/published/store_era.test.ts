import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import type { StoreChange } from "./store_change.ts";
import { StoreChangeKind } from "./store_change_kind.ts";

const { buildConfiguration, buildEraPage, buildPage, buildRemoval, buildRevision, buildUpstream } =
    storePages;

/** An upstream's report with the number `sequence`. */
function buildReport(id: string, revision: number, sequence: number, leaving = false): StoreChange {
    const change = buildUpstream(id, revision, leaving);
    assert.ok(change.kind === StoreChangeKind.Upstream);
    return { ...change, upstream: { ...change.upstream, bornMs: 1_000, sequence } };
}

/** Starts a daemon whose store has come back from an older copy after `before` was read. */
async function createRestored(before: readonly StoreChange[], copy: readonly StoreChange[]) {
    const setup = createFollowerSetup();
    void setup.follower.start();
    setup.store.send(buildPage(50, buildConfiguration(4, 3), ...before));
    await setup.time.run(1_000);
    // The revision has been given out again, so that the store answers the watch.
    setup.store.send(buildEraPage(1, 52, buildConfiguration(3, 51)), buildEraPage(1, 52, ...copy));
    await setup.time.run(100);
    return setup;
}

test("all values are read again when the revisions of a watch were given out again", async () => {
    const { follower, store } = await createRestored([], [buildConfiguration(4, 3)]);
    assert.deepEqual(store.calls, ["all", "watch 50", "all"]);
    assert.deepEqual(follower.getRevision(), buildRevision(52, 1));
});

test("an upstream that the older copy lacks is kept until it had time to write again", async () => {
    const before = [buildReport("u1", 4, 9), buildReport("u2", 5, 9)];
    const { listIds, store, time } = await createRestored(before, [buildConfiguration(4, 3)]);
    assert.equal(listIds(), "u1,u2");
    await time.run(1_000);
    store.send(buildEraPage(1, 53, buildReport("u2", 53, 10)));
    await time.run(1_500);
    assert.equal(listIds(), "u2");
});

test("an upstream that drained gets no work because an older copy lists it as ready, until it starts again", async () => {
    const before = [buildReport("u1", 4, 9, true)];
    const { listIds, store, time } = await createRestored(before, [
        buildConfiguration(4, 3),
        buildReport("u1", 2, 8),
    ]);
    await time.run(10_000);
    assert.equal(listIds(), "");
    store.send(buildEraPage(1, 53, buildReport("u1", 53, 1)));
    await time.run(100);
    assert.equal(listIds(), "u1");
});

test("a removed upstream that an older copy lists returns only when it is still listed after its entry had expired", async () => {
    const before = [buildReport("u1", 4, 9), buildReport("u2", 5, 9)];
    const setup = createFollowerSetup();
    const { follower, listIds, store, time } = setup;
    void follower.start();
    store.send(buildPage(50, buildConfiguration(4, 3), ...before));
    await time.run(500);
    store.send(buildPage(52, buildRemoval("u1", 51), buildRemoval("u2", 52)));
    await time.run(1_000);
    store.send(buildEraPage(1, 52), buildEraPage(1, 52, buildConfiguration(4, 3), ...before));
    await time.run(1_000);
    store.send(buildEraPage(1, 53, buildRemoval("u1", 53)));
    await time.run(4_000);
    assert.equal(listIds(), "");
    await time.run(2_000);
    assert.equal(listIds(), "u2");
});

test("the configuration does not revert, and nothing is proved before the store has the newest again", async () => {
    const { configs, follower, store, time } = await createRestored([], [buildConfiguration(3, 2)]);
    await time.run(5_000);
    assert.equal(configs.getActive()?.version, 4);
    assert.ok(follower.proof.getProvedMs() <= 1_000);
    store.send(buildEraPage(1, 53, buildConfiguration(4, 53)));
    await time.run(3_000);
    assert.ok(follower.proof.getProvedMs() > 5_000);
});

// Its newest version may be one that the store has lost, and that this daemon never read.
test("a daemon that starts in a later era proves nothing until operators had time to write again", async () => {
    const { follower, store, time } = createFollowerSetup();
    void follower.start();
    store.send(buildEraPage(1, 5, buildConfiguration(3, 3)));
    await time.run(1_900);
    assert.equal(follower.proof.getProvedMs(), -Infinity);
    await time.run(4_500);
    assert.ok(follower.proof.getProvedMs() >= 2_000);
});

test("a lower revision of a later era is newer, so that changes are fetched from the daemon that has read it", async () => {
    const { configs, follower, peers, store, time } = createFollowerSetup();
    peers.rank = 2;
    void follower.start();
    store.send(buildPage(50, buildConfiguration(1, 3)));
    await time.run(500);
    store.peerChanges = [buildConfiguration(2, 7)];
    peers.changes = ok({ revision: buildRevision(7, 1), items: ["0"], recoveryMs: 0, complete: true });
    follower.recordPeer({ address: "peer:1", revision: buildRevision(7, 1), storeAgeMs: 0 });
    await time.run(20);
    assert.deepEqual([configs.getActive()?.version, follower.getRevision()], [2, buildRevision(7, 1)]);
    follower.recordPeer({ address: "peer:1", revision: buildRevision(60), storeAgeMs: 0 });
    await time.run(20);
    assert.deepEqual(peers.fetches, ["peer:1 50"]);
});
