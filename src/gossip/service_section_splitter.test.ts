import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ServiceSectionSplitter } from "./service_section_splitter.ts";

const splitter = new ServiceSectionSplitter();

test("the joined sections equal the source, so that its digest is still correct after a transfer", () => {
    const line = fc.constantFrom(
        "services:",
        "  a:",
        "    floor: 1",
        "# note",
        "",
        "team: x",
        "  - b",
        "\t",
        "end\r",
    );
    fc.assert(
        fc.property(fc.array(line, { maxLength: 20 }), fc.boolean(), (lines, ends) => {
            const source = lines.join("\n") + (ends ? "\n" : "");
            assert.equal(splitter.split(source).join(""), source);
        }),
        { seed: 1 },
    );
});

test("each service has a section of its own, in maps and in lists", () => {
    for (const entry of ["payments:", "- name: payments"]) {
        const source =
            `team: x\nservices:\n  ${entry}\n    floor: 2\n    # note\n  ${entry}\n    floor: 3\nend: 1\n`;
        assert.deepEqual(splitter.split(source), [
            "team: x\nservices:\n",
            `  ${entry}\n    floor: 2\n    # note\n`,
            `  ${entry}\n    floor: 3\n`,
            "end: 1\n",
        ]);
    }
});
