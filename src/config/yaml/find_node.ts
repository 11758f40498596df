import type { SourceNode } from "./source_node.ts";

/** Follows `path` from `root` to the last node that the text contains. */
export function findNode(
    root: SourceNode,
    path: readonly (string | number)[],
): { readonly node: SourceNode; readonly depth: number; } {
    let node = root;
    for (const [depth, step] of path.entries()) {
        const { value } = node;
        const child = value instanceof Map
            ? (value as ReadonlyMap<string, SourceNode>).get(String(step))
            : Array.isArray(value)
            ? (value as readonly SourceNode[])[Number(step)]
            : undefined;
        if (child === undefined) {
            return { node, depth };
        }
        node = child;
    }
    return { node, depth: path.length };
}
