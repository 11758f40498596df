import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildUpstream } from "../../proof/control/fakes/build_upstream.ts";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { MembershipTable } from "./membership_table.ts";

function createFixture() {
    const sinks = new RecordingSinks();
    const time = new VirtualTime();
    const table = new MembershipTable({ clock: time, audit: sinks, logger: sinks, metrics: sinks });
    const listIds = () => table.list("payments").map(upstream => upstream.id);
    return { sinks, time, table, listIds };
}

test("an older list changes nothing, and the same version with another digest is a conflict", () => {
    const { table, listIds } = createFixture();
    table.merge({ version: 5, upstreams: [buildUpstream(1)] }, "a", "platform");
    const older = table.merge({ version: 4, upstreams: [] }, "b", "platform");
    assert.equal(older._unsafeUnwrapErr().code, Code.InstanceListStale);
    const conflict = table.merge({ version: 5, upstreams: [] }, "b", "platform");
    assert.equal(conflict._unsafeUnwrapErr().code, Code.InstanceListConflict);
    assert.deepEqual(listIds(), ["upstream-1"]);
});

test("each change of the list is recorded in the audit trail with its cause", () => {
    const { sinks, table } = createFixture();
    table.merge({ version: 1, upstreams: [buildUpstream(1), buildUpstream(2)] }, "a", "platform");
    table.merge({ version: 2, upstreams: [buildUpstream(1, { leaving: true })] }, "b", "peer");
    const changes = sinks.entries.map(({ subject, before, after }) => `${subject} ${before} ${after}`);
    assert.deepEqual(changes, [
        "upstream-1 absent live at daemon-1 10.0.0.1:7000",
        "upstream-2 absent live at daemon-2 10.0.0.2:7000",
        "upstream-2 live at daemon-2 10.0.0.2:7000 absent",
        "upstream-1 live at daemon-1 10.0.0.1:7000 leaving at daemon-1 10.0.0.1:7000",
    ]);
    assert.equal(sinks.entries[3]?.cause, "peer");
});

test("a leaving report stays in force when a newer list does not contain it yet", () => {
    const { table, listIds } = createFixture();
    table.merge({ version: 1, upstreams: [buildUpstream(1), buildUpstream(2)] }, "a", "platform");
    table.setLeaving("upstream-1", "reply");
    table.merge({ version: 2, upstreams: [buildUpstream(1), buildUpstream(2)] }, "b", "platform");
    assert.deepEqual(listIds(), ["upstream-2"]);
});

test("a restarted daemon is used again, and a delayed report about its previous process changes nothing", () => {
    const { table, listIds } = createFixture();
    table.merge({ version: 1, upstreams: [buildUpstream(1)] }, "a", "platform");
    table.recordIncarnation("daemon-1", "first", true);
    table.setDaemonLeaving("daemon-1", "first", "peer");
    assert.deepEqual(listIds(), []);
    table.recordIncarnation("daemon-1", "second", true);
    assert.deepEqual(listIds(), ["upstream-1"]);
    assert.equal(table.setDaemonLeaving("daemon-1", "first", "peer"), false);
    table.recordIncarnation("daemon-1", "first", false);
    assert.equal(table.getIncarnation("daemon-1"), "second");
    assert.deepEqual(listIds(), ["upstream-1"]);
});

test("a start notice ends leaving reports about the previous process, and not those about the same process", () => {
    const { table, listIds } = createFixture();
    table.merge({ version: 1, upstreams: [buildUpstream(1)] }, "a", "platform");
    table.setLeaving("upstream-1", "reply");
    table.setDaemonLeaving("daemon-1", "first", "peer");
    table.setDaemonStarted("daemon-1", "second");
    assert.deepEqual(listIds(), ["upstream-1"]);
    table.setDaemonLeaving("daemon-1", "second", "peer");
    table.setDaemonStarted("daemon-1", "second");
    assert.deepEqual(listIds(), []);
});

test("a leaving report expires unless repeated, so that a missed restart does not cost capacity forever", async () => {
    const { time, table, listIds } = createFixture();
    table.merge({ version: 1, upstreams: [buildUpstream(1)] }, "a", "platform");
    table.setDaemonLeaving("daemon-1", "first", "peer");
    await time.run(29_000);
    assert.deepEqual(listIds(), []);
    await time.run(2_000);
    assert.deepEqual(listIds(), ["upstream-1"]);
});

test("incremental updates result in the same table as the last list alone", () => {
    const upstream = fc.record({
        index: fc.nat({ max: 6 }),
        service: fc.nat({ max: 2 }),
        leaving: fc.boolean(),
    });
    const list = fc.uniqueArray(upstream, { selector: ({ index }) => index, maxLength: 7 });
    const buildList = (items: readonly { index: number; service: number; leaving: boolean; }[]) =>
        items.map(({ index, service, leaving }) =>
            buildUpstream(index, { service: `service-${service}`, ownerId: `daemon-${index % 3}`, leaving })
        );
    fc.assert(
        fc.property(fc.array(list, { minLength: 1, maxLength: 5 }), lists => {
            const stepwise = createFixture().table;
            lists.forEach((items, index) =>
                stepwise.merge({ version: index + 1, upstreams: buildList(items) }, `${index}`, "platform")
            );
            const direct = createFixture().table;
            direct.merge({ version: 1, upstreams: buildList(lists.at(-1)!) }, "a", "platform");
            const readTable = (table: MembershipTable) => ({
                services: [0, 1, 2].map(service => table.list(`service-${service}`)),
                daemons: [...table.getDaemons().values()].sort((left, right) => left.id < right.id ? -1 : 1)
                    .map(({ id, leaving }) => ({ id, leaving })),
            });
            assert.deepEqual(readTable(stepwise), readTable(direct));
        }),
        { seed: 1 },
    );
});
