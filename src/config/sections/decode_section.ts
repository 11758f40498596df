import { Result } from "neverthrow";
import type { SourceNode } from "../yaml/source_node.ts";

/** Reads JSON into a tree in which every value has position 0; undefined when the text is not JSON. */
export function decodeSection(content: string): SourceNode | undefined {
    return Result.fromThrowable((): unknown => JSON.parse(content))().map(decodeValue).unwrapOr(undefined);
}

function decodeValue(value: unknown): SourceNode {
    const place = { offset: 0, keyOffset: 0 };
    if (Array.isArray(value)) {
        return { ...place, value: value.map(decodeValue) };
    }
    if (typeof value === "object" && value instanceof Object) {
        const entries = Object.entries(value).map(([key, item]) => [key, decodeValue(item)] as const);
        return { ...place, value: new Map(entries) };
    }
    const isKnown = typeof value === "string" || typeof value === "number" || typeof value === "boolean";
    return { ...place, value: isKnown ? value : undefined };
}
