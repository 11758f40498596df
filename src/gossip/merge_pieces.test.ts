import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computeDigest } from "../published/compute_digest.ts";
import { buildPieces } from "./build_pieces.ts";
import { mergePieces } from "./merge_pieces.ts";
import type { Section } from "./section.ts";

function buildSections(contents: readonly string[]): readonly Section[] {
    return contents.map(content => ({ content, digest: computeDigest(content).slice(0, 16) }));
}

const contents = fc.array(fc.constantFrom("a", "b", "c", "d", "e", "f"), { maxLength: 12 });

test("merged pieces equal the new sections whatever was inserted, removed or moved", () => {
    fc.assert(
        fc.property(contents, contents, (before, after) => {
            const base = buildSections(before);
            const pieces = buildPieces(base.map(section => section.digest), buildSections(after));
            assert.deepEqual(mergePieces(base, pieces), after);
        }),
        { seed: 1 },
    );
});

test("only changed sections are transferred, so that a change costs the size of one section", () => {
    const names = Array.from({ length: 1_000 }, (_, index) => `service ${index}`);
    const changed = names.map(name => name === "service 500" ? "service 500 changed" : name);
    const pieces = buildPieces(buildSections(names).map(section => section.digest), buildSections(changed));
    assert.deepEqual(pieces, [
        { copyStart: 0, copyCount: 500, content: "" },
        { copyStart: 0, copyCount: 0, content: "service 500 changed" },
        { copyStart: 501, copyCount: 499, content: "" },
    ]);
});

test("a run outside the base is refused, so that a bad message cannot silently shorten a document", () => {
    const base = buildSections(["a", "b"]);
    for (const [copyStart, copyCount] of [[1, 2], [-1, 1], [0, -1]] as const) {
        assert.equal(mergePieces(base, [{ copyStart, copyCount, content: "" }]), undefined);
    }
});
