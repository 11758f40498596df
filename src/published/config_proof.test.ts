import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerSetup } from "../../proof/control/fakes/create_follower_setup.ts";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import type { StoreChange } from "./store_change.ts";
import { StoreChangeKind } from "./store_change_kind.ts";

const { buildConfiguration, buildPage, buildUpstream } = storePages;

async function createStarted() {
    const setup = createFollowerSetup();
    void setup.follower.start();
    setup.store.send(buildPage(5, buildConfiguration(1, 3)));
    await setup.time.run(500);
    return setup;
}

test("an answer that lay in the socket of a stopped process proves nothing after the start of its call", async () => {
    const { follower, store, time } = await createStarted();
    const watchedAtMs = 400;
    time.addPause(1_000);
    store.send(buildPage(6, buildUpstream("u1", 6)));
    await time.run(0);
    assert.equal(follower.proof.getProvedMs(), watchedAtMs);
});

test("a watch that waited in vain proves the configuration until the end of its wait and not until its arrival", async () => {
    const { follower, store, time } = await createStarted();
    store.endsWatches = false;
    time.addPause(2_400);
    store.send(buildPage(5));
    await time.run(0);
    assert.equal(follower.proof.getProvedMs(), 400 + 2_200);
});

test("a watch that ended with a change of another value proves nothing after the start of its call", async () => {
    const { follower, store, time } = await createStarted();
    time.addPause(2_400);
    store.endsWatches = false;
    store.send(buildPage(6));
    await time.run(0);
    assert.equal(follower.proof.getProvedMs(), 400);
});

test("nothing is proved while the store has a configuration that cannot be read", async () => {
    const { follower, store, time } = await createStarted();
    const unreadable: StoreChange = {
        kind: StoreChangeKind.Unreadable,
        revision: 6,
        key: "configuration",
        detail: "no version",
    };
    store.send(buildPage(6, unreadable));
    await time.run(5_000);
    assert.ok(follower.proof.getProvedMs() < 1_000);
    store.send(buildPage(7, buildConfiguration(2, 7)));
    await time.run(5_000);
    assert.ok(follower.proof.getProvedMs() > 5_000);
});

test("the claim of another daemon counts when its version is in force, whichever comes first", async () => {
    const { follower, store, time } = await createStarted();
    follower.proof.recordClaim({ version: 2, provedMs: 490 });
    assert.equal(follower.proof.getProvedMs(), 0);
    store.send(buildPage(6, buildConfiguration(2, 6)));
    await time.run(0);
    assert.equal(follower.proof.getProvedMs(), 490);
});
