import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildUpstream } from "../../../proof/control/fakes/build_upstream.ts";
import { Code } from "../../core/code.ts";
import { JsonInstanceListCodec } from "./json_instance_list_codec.ts";

const codec = new JsonInstanceListCodec();

test("a list in any order gives the same text, so that readers agree on its digest", () => {
    const upstreams = Array.from({ length: 12 }, (_, index) => ({
        ...buildUpstream(index, { leaving: index % 5 === 0 }),
        ownerId: `daemon-${index % 4}`,
        ownerAddress: `10.0.0.${index % 4}:7000`,
    }));
    const expected = codec.encode(upstreams);
    fc.assert(
        fc.property(fc.shuffledSubarray(upstreams, { minLength: 12 }), shuffled => {
            assert.deepEqual(codec.encode(shuffled), expected);
            const decoded = codec.decode(expected)._unsafeUnwrap();
            const sorted = [...decoded].sort((left, right) => left.id < right.id ? -1 : 1);
            assert.deepEqual(sorted, [...upstreams].sort((left, right) => left.id < right.id ? -1 : 1));
        }),
        { seed: 1 },
    );
});

test("a malformed section returns a failure with a code instead of throwing", () => {
    for (const section of ["", "{}", "[1]", '["d","r","o","a",[["u","s",2]]]', '["d","r","o","a",7]']) {
        assert.equal(codec.decode([section])._unsafeUnwrapErr().code, Code.InstanceListBadValue);
    }
});
