import { isMap, isScalar, isSeq, type Node, parseDocument } from "yaml";
import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "./source_node.ts";

/** Reads a YAML text into a tree with positions; undefined when there is no tree to check. */
export function readYaml(text: string, problems: ProblemList): SourceNode | undefined {
    const document = parseDocument(text, { uniqueKeys: false, keepSourceTokens: false });
    for (const error of document.errors) {
        problems.add(Code.ConfigSyntax, error.pos[0], "", error.message.split("\n")[0]!);
    }
    if (document.errors.length > 0) {
        return undefined;
    }
    // An empty text has no root node.
    return document.contents === null // eslint-disable-line no-restricted-syntax
        ? { offset: 0, keyOffset: 0, value: undefined }
        : buildNode(document.contents, undefined, "", problems);
}

function buildNode(
    node: Node,
    keyOffset: number | undefined,
    field: string,
    problems: ProblemList,
): SourceNode {
    const offset = node.range?.[0] ?? 0;
    const place = { offset, keyOffset: keyOffset ?? offset };
    if (isMap<Node, Node>(node)) {
        const entries = new Map<string, SourceNode>();
        for (const { key, value } of node.items) {
            const name = isScalar(key) ? String(key.value) : "";
            const path = field === "" ? name : `${field}.${name}`;
            const start = key.range?.[0] ?? offset;
            if (entries.has(name)) {
                problems.add(Code.ConfigDuplicateName, start, path, "appears twice");
            }
            entries.set(
                name,
                value ? buildNode(value, start, path, problems) : { ...place, value: undefined },
            );
        }
        return { ...place, value: entries };
    }
    if (isSeq<Node>(node)) {
        return {
            ...place,
            value: node.items.map((item, index) =>
                buildNode(item, undefined, `${field}[${index}]`, problems)
            ),
        };
    }
    if (isScalar(node)) {
        const value = node.value;
        const known = typeof value === "string" || typeof value === "number" || typeof value === "boolean";
        return { ...place, value: known ? value : undefined };
    }
    problems.add(Code.ConfigSyntax, offset, field, "aliases are not supported; write the value out");
    return { ...place, value: undefined };
}
