import assert from "node:assert/strict";
import { test } from "node:test";
import { codeTable } from "../core/code_table.ts";
import { runCodes } from "./run_codes.ts";

test("`codes` lists every code of the table once, so that no code in a log is unexplained", () => {
    const lines: string[] = [];
    const exitCode = runCodes({
        write: text => lines.push(...text.trimEnd().split("\n")),
        writeError: () => {},
    });
    assert.equal(exitCode, 0);
    const rows = lines.slice(1).map(line => [line.trim().split(/\s+/)[0], line.slice(51).trim()]);
    assert.deepEqual(rows, Object.entries(codeTable).map(([code, { summary }]) => [code, summary]));
});
