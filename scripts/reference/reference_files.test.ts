import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { codeTable } from "../../src/core/code_table.ts";
import { referenceFiles } from "./reference_files.ts";

for (const [name, format] of referenceFiles) {
    test(`docs/${name} agrees with the tables of the code, so that operators read what the program does`, () => {
        assert.equal(readFileSync(new URL(`../../docs/${name}`, import.meta.url), "utf8"), format());
    });
}

test("docs/codes.md has one row for each code of the table", () => {
    const page = readFileSync(new URL("../../docs/codes.md", import.meta.url), "utf8");
    const codes = [...page.matchAll(/^\| (\d+) \|/gm)].map(match => match[1]);
    assert.deepEqual(codes, Object.keys(codeTable));
});
