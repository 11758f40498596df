import type { PartList } from "./part_list.ts";

/** Recognises the content of a value `head` that lists parts. */
export interface PartListReader {
    /** Undefined when the content is a configuration itself. */
    parse(content: string): PartList | undefined;
}
