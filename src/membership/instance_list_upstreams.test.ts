import assert from "node:assert/strict";
import { test } from "node:test";
import { NullSinks } from "../../measure/capacity/null_sinks.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { Upstream } from "../core/upstream.ts";
import { InstanceListUpstreams } from "./instance_list_upstreams.ts";
import { MembershipTable } from "./membership_table.ts";

const address = "10.0.0.1:8080";
const sinks = new NullSinks();

function createUpstream(index: number, getAddress: () => string): Upstream {
    return {
        id: `i-${index}`,
        service: "payments",
        failureDomain: "domain",
        region: "region",
        ownerId: `d-${index}`,
        ownerAddress: `10.0.0.${index}:7520`,
        leaving: false,
        get address() {
            return getAddress();
        },
        slots: 4,
    };
}

test("requests do not scan the upstreams of the whole fleet, because the local ones are found once per list", () => {
    const size = 1_000;
    let reads = 0;
    const membership = new MembershipTable({
        clock: new VirtualTime(),
        audit: sinks,
        logger: sinks,
        metrics: sinks,
    });
    const upstreams = Array.from({ length: size }, (_, index) =>
        createUpstream(index, () => {
            reads += 1;
            return index === 7 ? address : `10.0.1.${index}:8080`;
        }));
    membership.merge({ version: 1, upstreams }, "1", "test");
    const listed = new InstanceListUpstreams({ membership, address, getService: () => "payments" });
    reads = 0;
    for (let request = 0; request < 100; request += 1) {
        assert.deepEqual(listed.list().map(({ id }) => id), ["i-7"]);
    }
    assert.ok(reads <= 2 * size, `${reads} of ${size} upstreams read for 100 requests`);

    // A new list replaces the stored identifiers.
    membership.merge({ version: 2, upstreams: upstreams.slice(0, 7) }, "2", "test");
    assert.deepEqual(listed.list(), []);
});
