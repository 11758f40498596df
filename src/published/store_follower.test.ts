import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { Configuration } from "../config/configuration.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { ConfigStore } from "./config_store.ts";
import type { PlatformStore } from "./platform_store.ts";
import type { StoreChange } from "./store_change.ts";
import { StoreChangeKind } from "./store_change_kind.ts";
import { StoreFollower } from "./store_follower.ts";
import type { StorePage } from "./store_page.ts";

type Reply = Result<StorePage, Failure>;

/** Store whose replies are queued by the test; a call without a queued reply stays open. */
class FakeStore implements PlatformStore {
    readonly calls: string[] = [];
    private readonly replies: Reply[] = [];
    private resolve: ((reply: Reply) => void) | undefined;

    fetchAll(): Promise<Reply> {
        return this.read("all");
    }

    watch(afterRevision: number): Promise<Reply> {
        return this.read(`watch ${afterRevision}`);
    }

    close(): void {}

    send(...replies: Reply[]): void {
        this.replies.push(...replies);
        const resolve = this.resolve;
        if (resolve !== undefined) {
            this.resolve = undefined;
            resolve(this.replies.shift()!);
        }
    }

    private read(name: string): Promise<Reply> {
        this.calls.push(name);
        const reply = this.replies.shift();
        return reply !== undefined ? Promise.resolve(reply) : new Promise(resolve => {
            this.resolve = resolve;
        });
    }
}

function createSetup() {
    const time = new VirtualTime();
    const sinks = {
        record: () => undefined,
        write: () => undefined,
        addCount: () => undefined,
        setGauge: () => undefined,
        recordTime: () => undefined,
    };
    const base = { clock: time, timers: time, audit: sinks, logger: sinks, metrics: sinks };
    const configs = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const store = new FakeStore();
    const follower = new StoreFollower({
        ...base,
        store,
        configs,
        membership,
        random: new SeededRandom(1),
        startWaitMs: 60_000,
    });
    const listIds = () => membership.list("payments").map(({ id }) => id).join();
    return { time, configs, store, follower, listIds };
}

function buildUpstream(id: string, revision: number, leaving = false): StoreChange {
    const place = { failureDomain: "z", region: "r", ownerId: id, ownerAddress: id };
    return {
        kind: StoreChangeKind.Upstream,
        revision,
        upstream: { id, service: "payments", leaving, ...place },
    };
}

function buildRemoval(upstreamId: string, revision: number): StoreChange {
    return { kind: StoreChangeKind.UpstreamRemoved, revision, upstreamId };
}

function buildConfiguration(version: number, revision: number): StoreChange {
    const configuration: Configuration = { team: "", services: new Map() };
    return { kind: StoreChangeKind.Configuration, revision, version, source: `${version}`, configuration };
}

function buildPage(revision: number, ...changes: StoreChange[]): Reply {
    return ok({ revision, changes });
}

const unreachable: Reply = err(createFailure(Code.PlatformUnreachable));

test("the start of a daemon completes only with the first configuration", async () => {
    const { follower, store, time, configs } = createSetup();
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
    const { follower, store, time, listIds } = createSetup();
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
    const { follower, store, time, listIds } = createSetup();
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
    const { follower, store, time, configs, listIds } = createSetup();
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
    const { follower, store, time, listIds } = createSetup();
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
    const { follower, store, time, listIds } = createSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        buildPage(8, buildRemoval("u1", 7), buildUpstream("u2", 8, true)),
    );
    await time.run(1_000);
    assert.equal(listIds(), "");
});

test("a stale watch is reopened when another daemon has a newer revision, so that a change is in force in time", async () => {
    const { configs, follower, store, time } = createSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3)));
    await time.run(1_000);
    assert.deepEqual(store.calls, ["all", "watch 5"]);
    follower.recordPeerRevision(7);
    follower.recordPeerRevision(8);
    await time.run(700);
    assert.deepEqual(store.calls, ["all", "watch 5"]);
    await time.run(300);
    assert.deepEqual(store.calls, ["all", "watch 5", "watch 5"]);
    store.send(buildPage(8, buildConfiguration(2, 7)));
    await time.run(100);
    assert.deepEqual([configs.getActive()?.version, follower.getRevision()], [2, 8]);
    await time.run(5_000);
    assert.deepEqual(
        store.calls,
        ["all", "watch 5", "watch 5", "watch 8"],
        "a daemon that is not behind waits",
    );
});

test("an upstream that leaves while only this daemon's watch is stale is removed immediately", async () => {
    const { follower, listIds, store, time } = createSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)));
    await time.run(1_000);
    follower.recordPeerRevision(7);
    await time.run(900);
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(100);
    assert.equal(listIds(), "u2");
});

test("an upstream that leaves during one failed watch is removed immediately, as no entry can expire in that time", async () => {
    const { follower, listIds, store, time } = createSetup();
    void follower.start();
    store.send(
        buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4), buildUpstream("u2", 5)),
        unreachable,
        buildPage(7, buildRemoval("u1", 7)),
    );
    await time.run(1_000);
    assert.equal(listIds(), "u2");
});

test("entries are kept after a call that timed out, since the outage may have begun when the call started", async () => {
    const { follower, listIds, store, time } = createSetup();
    void follower.start();
    store.send(buildPage(5, buildConfiguration(1, 3), buildUpstream("u1", 4)));
    await time.run(13_000);
    store.send(buildPage(7, buildRemoval("u1", 7)));
    await time.run(100);
    assert.equal(listIds(), "u1");
    await time.run(2_500);
    assert.equal(listIds(), "");
});

test("a change that cannot be applied hides no other change and does not end the following of the store", async () => {
    const { follower, store, time, configs, listIds } = createSetup();
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
    const { follower, store, time, listIds } = createSetup();
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
