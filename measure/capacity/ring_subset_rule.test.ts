import assert from "node:assert/strict";
import { test } from "node:test";
import { buildUpstream } from "../../proof/control/fakes/build_upstream.ts";
import { RingSubsetRule } from "./ring_subset_rule.ts";

const daemon = {
    id: "daemon-1",
    address: "",
    failureDomain: "domain-0",
    region: "region-1",
    leaving: false,
};
const rule = new RingSubsetRule([6, 3, 3]);

test("at every rank a subset is bounded, has no duplicates and prefers the local failure domain", () => {
    const members = Array.from({ length: 60 }, (_, index) => buildUpstream(index));
    for (let rank = 0; rank < 40; rank += 1) {
        const chosen = rule.select(daemon, members, new Map([["daemon-1", rank]]));
        const local = chosen.filter(({ failureDomain }) => failureDomain === "domain-0");
        assert.equal(local.length, 6);
        assert.equal(new Set(chosen).size, 9);
        assert.equal(chosen.length, 9);
    }
});

test("a small service is selected completely, so that each of its upstreams gets requests", () => {
    const members = Array.from(
        { length: 9 },
        (_, index) => buildUpstream(index, { failureDomain: "domain-0" }),
    );
    const inDomain = members.slice(0, 5);
    assert.deepEqual(new Set(rule.select(daemon, inDomain, new Map([["daemon-1", 7]]))), new Set(inDomain));
});
