import type { SourceNode } from "./source_node.ts";

/** A YAML text with the tree of its values. */
export interface SourceDocument {
    /** Name of the file or published value, for messages. */
    readonly name: string;
    readonly text: string;
    readonly root: SourceNode;
}
