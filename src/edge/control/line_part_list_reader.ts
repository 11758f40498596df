import type { PartList } from "../../published/part_list.ts";
import type { PartListReader } from "../../published/part_list_reader.ts";

const headerPattern = /^# zinniaglade-parts sha256:([0-9a-f]{64})$/;

/**
 * Parses a part list: the line `# zinniaglade-parts sha256:DIGEST`, then the name of one value per line. The
 * first line, a comment with a fixed text, distinguishes a part list from a configuration.
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
