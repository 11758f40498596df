import { Code } from "./code.ts";
import type { CodeEntry } from "./code_entry.ts";
import { codeTable } from "./code_table.ts";

interface NamedCode extends CodeEntry {
    readonly code: Code;
    readonly name: string;
}

/** Rows of the code table with their codes and names, sorted by code. */
export function listCodes(): readonly NamedCode[] {
    return Object.entries(Code)
        .map(([name, code]) => ({ code, name, ...codeTable[code] }))
        .sort((left, right) => left.code - right.code);
}
