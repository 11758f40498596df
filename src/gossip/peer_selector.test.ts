import assert from "node:assert/strict";
import { test } from "node:test";
import { buildUpstream } from "../../proof/control/fakes/build_upstream.ts";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { PeerSelector } from "./peer_selector.ts";

function createFixture(count: number) {
    const sinks = new RecordingSinks();
    const membership = new MembershipTable({
        clock: new VirtualTime(),
        audit: sinks,
        logger: sinks,
        metrics: sinks,
    });
    const upstreams = Array.from({ length: count }, (_, index) => buildUpstream(index));
    membership.merge({ version: 1, upstreams }, "a", "platform");
    const random = new SeededRandom(1);
    const identity = { daemonId: "daemon-0", failureDomain: "domain-0" };
    return new PeerSelector({ ...identity, membership, random, seeds: ["seed"] });
}

test("peers are mostly in the local failure domain, some are remote, and none is the daemon itself", () => {
    const selector = createFixture(30);
    const ids = Array.from({ length: 1_000 }, () => selector.select(1)[0]!.id!);
    const local = ids.filter(id => Number(id.slice(7)) % 3 === 0).length;
    assert.ok(local > 650 && local < 850, `${local} of 1000`);
    assert.equal(ids.includes("daemon-0"), false);
});

test("a daemon alone in its failure domain selects remote peers, and without a list its seeds", () => {
    assert.equal(createFixture(2).select(1)[0]?.id, "daemon-1");
    assert.deepEqual(createFixture(0).select(2), [{ id: undefined, address: "seed" }]);
});

test("a leaving daemon announces it to every failure domain at once", () => {
    const domains = createFixture(30).selectAcrossDomains(4).map(({ id }) => Number(id!.slice(7)) % 3);
    assert.deepEqual([...domains].sort(), [0, 0, 0, 0, 1, 2]);
});
