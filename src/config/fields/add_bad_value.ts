import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { formatFoundValue } from "./format_found_value.ts";

/** Adds the problem that the value at `node` is not of the type that `expected` describes. */
export function addBadValue(node: SourceNode, field: string, problems: ProblemList, expected: string): void {
    problems.add(
        Code.ConfigBadValue,
        node.offset,
        field,
        `must be ${expected}, found ${formatFoundValue(node)}`,
    );
}
