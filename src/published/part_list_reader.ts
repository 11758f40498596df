import type { PartList } from "./part_list.ts";

/** Parses the content of a value `head` that lists parts. */
export interface PartListReader {
    /** Undefined when the content itself is a configuration. */
    parse(content: string): PartList | undefined;
}
