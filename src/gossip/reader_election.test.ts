import assert from "node:assert/strict";
import { test } from "node:test";
import { buildUpstream } from "../../proof/control/fakes/build_upstream.ts";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { ReaderElection } from "./reader_election.ts";

const upstreams = Array.from({ length: 30 }, (_, index) => buildUpstream(index));

function createFixture(index: number) {
    const sinks = new RecordingSinks();
    const time = new VirtualTime();
    const membership = new MembershipTable({ clock: time, audit: sinks, logger: sinks, metrics: sinks });
    const election = new ReaderElection({
        daemonId: `daemon-${index}`,
        failureDomain: `domain-${index % 3}`,
        membership,
        clock: time,
    });
    return { time, membership, election };
}

test("each failure domain has two readers, so that the reads do not grow with the fleet", () => {
    const readers = upstreams.map((_, index) => {
        const { membership, election } = createFixture(index);
        membership.merge({ version: 1, upstreams }, "a", "platform");
        return election.isReader() ? index % 3 : -1;
    });
    for (const domain of [0, 1, 2]) {
        assert.equal(readers.filter(reader => reader === domain).length, 2);
    }
});

test("when a reader is leaving, another daemon takes its place", () => {
    const isChosen = (index: number, list: typeof upstreams) => {
        const { membership, election } = createFixture(index);
        membership.merge({ version: 1, upstreams: list }, "a", "platform");
        return election.isReader();
    };
    const first = upstreams.findIndex((_, index) => isChosen(index, upstreams));
    const left = upstreams.map((upstream, index) => ({ ...upstream, leaving: index === first }));
    const readers = left.filter((_, index) =>
        index !== first && index % 3 === first % 3 && isChosen(index, left)
    );
    assert.equal(readers.length, 2);
});

test("a daemon without an instance list or replies of peers reads the platform itself", async () => {
    const index = upstreams.findIndex((_, candidate) => {
        const { membership, election } = createFixture(candidate);
        membership.merge({ version: 1, upstreams }, "a", "platform");
        return !election.isReader();
    });
    const { time, membership, election } = createFixture(index);
    assert.equal(election.isReader(), true);
    membership.merge({ version: 1, upstreams }, "a", "platform");
    assert.equal(election.isReader(), false);
    await time.run(10_000);
    assert.equal(election.isReader(), true);
    election.recordPeerReply();
    election.recordPlatformAge(0);
    assert.equal(election.isReader(), false);
});

test("two more daemons per failure domain read when no reader reaches the platform for 8 s", async () => {
    const fixtures = upstreams.map((_, index) => createFixture(index));
    for (const { membership } of fixtures) {
        membership.merge({ version: 1, upstreams }, "a", "platform");
    }
    const countReaders = () => fixtures.filter(({ election }) => election.isReader()).length;
    const runAll = async (durationMs: number) => {
        for (const { time, election } of fixtures) {
            await time.run(durationMs);
            election.recordPeerReply();
        }
    };
    await runAll(7_900);
    assert.equal(countReaders(), 6);
    await runAll(100);
    assert.equal(countReaders(), 12);
    await runAll(4_000);
    assert.equal(countReaders(), 24);
});

test("the platform age follows own reads and reports of peers, and grows with each transfer", async () => {
    const { time, membership, election } = createFixture(0);
    membership.merge({ version: 1, upstreams }, "a", "platform");
    await time.run(20_000);
    election.recordPlatformAge(500);
    assert.equal(election.getPlatformAgeMs(), 600);
    election.recordRead(true);
    await time.run(9_000);
    assert.equal(election.getPlatformAgeMs(), 0);
    election.recordRead(false);
    await time.run(1_000);
    assert.equal(election.getPlatformAgeMs(), 1_000);
});
