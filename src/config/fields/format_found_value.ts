import type { SourceNode } from "../yaml/source_node.ts";

/** Describes the value that was found, for error messages. */
export function formatFoundValue(node: SourceNode): string {
    const { value } = node;
    if (value === undefined) {
        return "nothing";
    }
    if (typeof value === "object") {
        return Array.isArray(value) ? "a list" : "a map";
    }
    const text = JSON.stringify(value);
    return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}
