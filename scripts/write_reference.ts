/**
 * Writes the pages of docs/ that list tables of the code.
 *
 * Usage: `node --import tsx scripts/write_reference.ts`
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { referenceFiles } from "./reference/reference_files.ts";

for (const [name, format] of referenceFiles) {
    writeFileSync(new URL(`../docs/${name}`, import.meta.url), format());
}
