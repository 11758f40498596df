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
    test(`configurations spread within 16 s and never go back under faults, seed ${seed}`, async () => {
        const fleet = new ConfigFleet({ seed });
        const history = await fleet.run(240_000);
        // Without readable configurations the predicate on the spread would have nothing to check.
        assert.ok(history.some(event => event.kind === EventKind.ConfigReadable));
        const messages = checkHistory(history, predicates).map(violation => violation.message);
        assert.deepEqual(messages, []);
    });
}

/** A fleet without random faults, started and at rest. */
async function createFleet(options: Partial<ConstructorParameters<typeof ConfigFleet>[0]> = {}) {
    const fleet = new ConfigFleet({ seed: 1, ...options });
    await fleet.start();
    // Daemons that had no list at first may hold a watch that was started then; after 16 s only readers have one.
    await fleet.time.run(16_000);
    const listVersions = () => [...new Set(fleet.daemons.map(daemon => daemon.store.getActive()?.version))];
    const listCodes = () => [...new Set(fleet.daemons.map(daemon => daemon.store.getRejected()?.code))];
    const addHead = (version: number, content: string) =>
        fleet.platform.setHead({ name: "head", version, content });
    return { fleet, listVersions, listCodes, addHead };
}

test("a platform restored from a backup moves nobody back, and every daemon reports it", async () => {
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

test("a version that was invalid before a restore is active within 16 s when it returns as a valid one", async () => {
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

test("the checker notices a start that asks no peers", async () => {
    const { fleet, addHead } = await createFleet({ mutation: { startupPeers: 0 } });
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(17, "backup");
    await fleet.time.run(16_000);
    await runRestart(fleet, 4);
    const names = checkHistory(fleet.history.list(), predicates).map(violation => violation.predicate);
    assert.ok(names.includes("config-spread"));
});

test("another text under the version in force changes nobody, and every daemon reports the conflict", async () => {
    const { fleet, listCodes, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(20, "other");
    await fleet.time.run(30_000);
    assert.deepEqual([...new Set(fleet.daemons.map(daemon => daemon.store.getActive()?.source))], ["twenty"]);
    assert.deepEqual(listCodes(), [Code.ConfigVersionConflict]);
    fleet.close();
});

test("an invalid configuration changes nobody, and every daemon reports it", async () => {
    const { fleet, listVersions, listCodes, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    addHead(21, "invalid");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    assert.deepEqual(listCodes(), [Code.ConfigBadValue]);
    fleet.close();
});

test("readers of one failure domain are enough when the platform is stale for all others", async () => {
    const { fleet, listVersions, addHead } = await createFleet();
    const domains = new Map(fleet.upstreams.map(upstream => [upstream.ownerId, upstream.failureDomain]));
    fleet.platform.setStale(reader => domains.get(reader) !== "domain-1", true);
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    fleet.close();
});

test("in a partition whose two readers are lost, others read the platform in their place", async () => {
    const { fleet, addHead } = await createFleet();
    const isInside = new Map(
        fleet.upstreams.map((upstream, index) => [upstream.ownerAddress, index % 3 === 0]),
    );
    fleet.network.setCuts((from, to) => isInside.get(from) !== isInside.get(to));
    const inside = fleet.daemons.filter((_, index) => index % 3 === 0);
    const lost = inside.filter(daemon => daemon.election.isReader());
    for (const daemon of lost) {
        daemon.close();
    }
    addHead(20, "twenty");
    await fleet.time.run(16_000);
    const left = inside.filter(daemon => !lost.includes(daemon));
    assert.equal(lost.length, 2);
    assert.deepEqual([...new Set(left.map(daemon => daemon.store.getActive()?.version))], [20]);
    fleet.close();
});

test("a configuration that one reader accepted just before an outage is active everywhere within 16 s", async () => {
    const { fleet, listVersions, addHead } = await createFleet();
    addHead(20, "twenty");
    await fleet.time.run(10);
    fleet.platform.setAvailable(() => false, false);
    await runRestart(fleet, 5);
    await fleet.time.run(16_000);
    assert.deepEqual(listVersions(), [20]);
    fleet.close();
});

test("a peer that sends damaged sections changes nobody's configuration", async () => {
    const damaged = {
        createControl: (control: PeerControlClient, index: number) =>
            index < 9 ? createCorruptingClient(control) : control,
    };
    const { fleet } = await createFleet(damaged);
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
