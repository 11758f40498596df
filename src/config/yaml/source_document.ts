import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "./source_node.ts";

/** A parsed YAML text. */
export interface SourceDocument {
    /** Undefined when the text is not YAML. */
    readonly root: SourceNode | undefined;
    readonly problems: ProblemList;
}
