import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTestMembers } from "../../proof/health/build_test_members.ts";
import { Code } from "../core/code.ts";
import { LeavingCheck } from "./leaving_check.ts";
import { MembershipTable } from "./membership_table.ts";

function createTable(): MembershipTable {
    const sinks = {
        record: () => undefined,
        write: () => undefined,
        addCount: () => undefined,
        setGauge: () => undefined,
        recordTime: () => undefined,
    };
    return new MembershipTable({ clock: new VirtualTime(), audit: sinks, logger: sinks, metrics: sinks });
}

test("work that waited for an upstream is not dispatched after the upstream was removed from the list", () => {
    const table = createTable();
    const check = new LeavingCheck(table);
    const request = buildOwnerRequest({ upstreamId: "u0" });
    assert.equal(check.check(request, 100), undefined, "without a list the owner's settings apply");
    const members = buildTestMembers(2);
    table.merge({ version: 1, upstreams: members }, "1", "test")._unsafeUnwrap();
    assert.equal(check.check(request, 100), undefined);
    table.merge({ version: 2, upstreams: members.slice(1) }, "2", "test")._unsafeUnwrap();
    assert.equal(check.check(request, 100)?.code, Code.OwnerLeaving);
});

test("work for an upstream that the list marks as leaving is not dispatched", () => {
    const table = createTable();
    const members = buildTestMembers(1).map(member => ({ ...member, leaving: true }));
    table.merge({ version: 1, upstreams: members }, "1", "test")._unsafeUnwrap();
    const request = buildOwnerRequest({ upstreamId: "u0" });
    assert.equal(new LeavingCheck(table).check(request, 0)?.code, Code.OwnerLeaving);
});
