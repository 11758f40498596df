import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { encodeKey } from "./encode_key.ts";
import { parseKey } from "./parse_key.ts";

const keys = fc.record(
    { ownerId: fc.string(), incarnation: fc.string(), expiresAtMs: fc.nat(), nonce: fc.string() },
    { noNullPrototype: true },
);

test("every issued key can be parsed and is safe in an HTTP header", () => {
    fc.assert(
        fc.property(keys, key => {
            const text = encodeKey(key);
            assert.deepEqual(parseKey(text)._unsafeUnwrap(), key);
            assert.match(text, /^[\w.-]+$/);
        }),
        { seed: 1 },
    );
});

test("only one encoding of a key is accepted, because another one would be a second operation", () => {
    const spellings = fc.tuple(keys, fc.constantFrom("=", ".", " ", "A"));
    fc.assert(
        fc.property(spellings, ([key, suffix]) => {
            assert.equal(parseKey(encodeKey(key) + suffix)._unsafeUnwrapErr().code, Code.KeyMalformed);
        }),
        { seed: 1 },
    );
});

test("a key that the fleet did not issue is refused", () => {
    for (const text of ["", "my-key", "zk1.", "zk1.e30", "zk1.WzEsMiwzLDRd"]) {
        assert.equal(parseKey(text)._unsafeUnwrapErr().code, Code.KeyMalformed);
    }
});
