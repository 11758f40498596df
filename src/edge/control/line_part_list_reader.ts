import type { PartList } from "../../published/part_list.ts";
import type { PartListReader } from "../../published/part_list_reader.ts";

const headerPattern = /^# zinniaglade-parts sha256:([0-9a-f]{64})$/;

/**
 * Reads a part list in lines: `# zinniaglade-parts sha256:DIGEST`, then one name of a value in each line.
 * A configuration never begins so, because the first line of a list is a comment with this fixed text.
 */
export class LinePartListReader implements PartListReader {
    parse(content: string): PartList | undefined {
        const lines = content.split("\n").map(line => line.trim());
        const digest = headerPattern.exec(lines[0] ?? "")?.[1];
        return digest === undefined
            ? undefined
            : { digest, parts: lines.slice(1).filter(line => line !== "") };
    }
}
