import type { SourceNode } from "./source_node.ts";

/** The lines of one entry of a map, and the node that was read from them. */
export interface SourceBlock {
    /** A copy of the lines; a slice would keep the whole text of its version in memory. */
    readonly text: string;
    readonly key: string;
    /** Its positions count from the start of the lines. */
    readonly node: SourceNode;
}
