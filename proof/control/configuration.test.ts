import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../../src/core/code.ts";
import type { PeerControlClient } from "../../src/gossip/peer_control_client.ts";
import { checkHistory } from "../check_history.ts";
import { EventKind } from "../event_kind.ts";
import { ConfigMonotonicPredicate } from "../predicates/config_monotonic_predicate.ts";
import { ConfigSpreadPredicate } from "../predicates/config_spread_predicate.ts";
import { ConfigFleet } from "./fakes/config_fleet.ts";
import { createCorruptingClient } from "./fakes/create_corrupting_client.ts";

const predicates = [new ConfigMonotonicPredicate(), new ConfigSpreadPredicate(16_000)];
const seeds = Array.from({ length: Number(process.env["PROOF_SEEDS"] ?? 6) }, (_, index) => index + 1);

for (const seed of seeds) {
    test(`under faults, configurations spread within 16 s and versions never decrease, seed ${seed}`, async () => {
        const fleet = new ConfigFleet({ seed });
        const history = await fleet.run(240_000);
        // Without readable configurations, the spread predicate would check nothing.
        assert.ok(history.some(event => event.kind === EventKind.ConfigReadable));
        const messages = checkHistory(history, predicates).map(violation => violation.message);
        assert.deepEqual(messages, []);
    });
}

/** Creates a started fleet without random faults, in which gossip and watches have settled. */
async function createFleet(options: Partial<ConstructorParameters<typeof ConfigFleet>[0]> = {}) {
    const fleet = new ConfigFleet({ seed: 1, ...options });
    await fleet.start();
    // Daemons that had no instance list at first may still watch the platform; after 16 s only readers do.
    await fleet.time.run(16_000);
    const listVersions = () => [...new Set(fleet.daemons.map(daemon => daemon.store.getActive()?.version))];
    const listCodes = () => [...new Set(fleet.daemons.map(daemon => daemon.store.getRejected()?.code))];
    const addHead = (version: number, content: string) =>
        fleet.platform.setHead({ name: "head", version, content });
    return { fleet, listVersions, listCodes, addHead };
}

test("a platform restored from a backup downgrades no daemon, and every daemon reports it as stale", async () => {
    const { fleet, listVersions, listCodes, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(17, "backup");
    await fleet.time.run(30_000);
    assert.deepEqual(listVersions(), [20]);
    assert.deepEqual(listCodes(), [Code.ConfigStale]);
    addHead(21, "twenty-one");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [21]);
    assert.deepEqual(listCodes(), [undefined]);
    fleet.close();
});

test("a version that was invalid before a restore and is valid afterwards is active within 16 s", async () => {
    const { fleet, listVersions, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(21, "invalid");
    await fleet.time.run(5_000);
    addHead(18, "backup");
    await fleet.time.run(100);
    addHead(21, "twenty-one");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [21]);
    fleet.close();
});

test("a new daemon takes the newest configuration from its peers when the platform is stale", async () => {
    const { fleet, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(17, "backup");
    await fleet.time.run(16_000);
    await runRestart(fleet, 4);
    assert.deepEqual(checkHistory(fleet.history.list(), predicates), []);
});

test("the predicates detect a startup that queries no peers", async () => {
    const { fleet, addHead } = await createFleet({ mutation: { startupPeers: 0 } });
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(17, "backup");
    await fleet.time.run(16_000);
    await runRestart(fleet, 4);
    const names = checkHistory(fleet.history.list(), predicates).map(violation => violation.predicate);
    assert.ok(names.includes("config-spread"));
});

test("other content under the active version is rejected, and every daemon reports the conflict", async () => {
    const { fleet, listCodes, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(20, "other");
    await fleet.time.run(30_000);
    assert.deepEqual([...new Set(fleet.daemons.map(daemon => daemon.store.getActive()?.source))], ["twenty"]);
    assert.deepEqual(listCodes(), [Code.ConfigVersionConflict]);
    fleet.close();
});

test("an invalid configuration is not activated, and every daemon reports it", async () => {
    const { fleet, listVersions, listCodes, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(21, "invalid");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    assert.deepEqual(listCodes(), [Code.ConfigBadValue]);
    fleet.close();
});

test("readers of one failure domain suffice when the platform is stale for all others", async () => {
    const { fleet, listVersions, addHead } = await createFleet();
    const domains = new Map(fleet.upstreams.map(upstream => [upstream.ownerId, upstream.failureDomain]));
    fleet.platform.setStale(reader => domains.get(reader) !== "domain-1", true);
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    fleet.close();
});

test("in a partition that loses its two readers, other daemons take over reading the platform", async () => {
    const { fleet, addHead } = await createFleet();
    const isInside = new Map(
        fleet.upstreams.map((upstream, index) => [upstream.ownerAddress, index % 3 === 0]),
    );
    fleet.network.setCuts((from, to) => isInside.get(from) !== isInside.get(to));
    const inside = fleet.daemons.filter((_, index) => index % 3 === 0);
    const lostReaders = inside.filter(daemon => daemon.election.isReader());
    for (const daemon of lostReaders) {
        daemon.close();
    }
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    const remaining = inside.filter(daemon => !lostReaders.includes(daemon));
    assert.equal(lostReaders.length, 2);
    assert.deepEqual([...new Set(remaining.map(daemon => daemon.store.getActive()?.version))], [20]);
    fleet.close();
});

test("a configuration that one reader accepted before an outage is active everywhere within 16 s", async () => {
    const { fleet, listVersions, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(10);
    fleet.platform.setAvailable(() => false, false);
    await runRestart(fleet, 5);
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    fleet.close();
});

test("corrupted sections from peers never become active", async () => {
    const corrupted = {
        createControl: (control: PeerControlClient, index: number) =>
            index < 9 ? createCorruptingClient(control) : control,
    };
    const { fleet } = await createFleet(corrupted);
    fleet.addConfiguration();
    await fleet.time.run(16_000);
    const [monotonic] = predicates;
    assert.deepEqual(checkHistory(fleet.history.list(), [monotonic!]), []);
    fleet.close();
});

async function runRestart(fleet: ConfigFleet, index: number): Promise<void> {
    fleet.daemons[index]!.close();
    fleet.startDaemon(index);
    await fleet.time.run(10_000);
}
