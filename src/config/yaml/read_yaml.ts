import { isAlias, isMap, isScalar, isSeq, type Node, parseDocument } from "yaml";
import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "./source_node.ts";

/**
 * Parses a YAML text into a tree with positions; undefined when the text is not YAML. Anchors,
 * aliases and tags are refused, so that each value is written where it applies.
 */
export function readYaml(text: string, problems: ProblemList): SourceNode | undefined {
    const document = parseDocument(text, { uniqueKeys: false });
    const diagnostics = [...document.errors, ...document.warnings];
    for (const diagnostic of diagnostics) {
        const message = diagnostic.message.split("\n")[0]!.replace(/ at line \d+, column \d+:?$/, "");
        // The library quotes complete values, which may be as long as the text.
        const shortMessage = message.length > 160 ? `${message.slice(0, 157)}...` : message;
        problems.add(Code.ConfigSyntax, diagnostic.pos[0], "", shortMessage);
    }
    if (document.directives?.yaml.explicit === true) {
        problems.add(Code.ConfigSyntax, 0, "", "directives are not supported");
    }
    if (!problems.isEmpty()) {
        return undefined;
    }
    const root = document.contents;
    const node = root instanceof Object ? buildNode(root, undefined, "", problems) : createEmpty(0);
    // Checks of a text with refused syntax would report follow-up problems that confuse its authors.
    return problems.list().some(({ code }) => code === Code.ConfigSyntax) ? undefined : node;
}

function createEmpty(offset: number): SourceNode {
    return { offset, keyOffset: offset, value: undefined };
}

function buildNode(
    node: Node,
    keyOffset: number | undefined,
    field: string,
    problems: ProblemList,
): SourceNode {
    const offset = node.range?.[0] ?? 0;
    const position = { offset, keyOffset: keyOffset ?? offset };
    if (isAlias(node) || node.anchor !== undefined) {
        problems.add(Code.ConfigSyntax, offset, field, "anchors and aliases are not supported");
        return { ...position, value: undefined };
    }
    if (node.tag !== undefined) {
        problems.add(Code.ConfigSyntax, offset, field, "tags are not supported");
        return { ...position, value: undefined };
    }
    if (isMap<Node, Node>(node)) {
        const entries = new Map<string, SourceNode>();
        for (const { key, value } of node.items) {
            if (!isScalar(key)) {
                problems.add(Code.ConfigSyntax, key?.range?.[0] ?? offset, field, "a key must be text");
                continue;
            }
            const name = key.source ?? "";
            const path = field === "" ? name : `${field}.${name}`;
            const start = key.range?.[0] ?? offset;
            if (key.anchor !== undefined || key.tag !== undefined) {
                problems.add(Code.ConfigSyntax, start, path, "anchors and tags are not supported");
            }
            if (entries.has(name)) {
                problems.add(Code.ConfigDuplicateName, start, path, "appears twice");
            }
            entries.set(
                name,
                value ? buildNode(value, start, path, problems) : { ...createEmpty(start), keyOffset: start },
            );
        }
        return { ...position, value: entries };
    }
    if (isSeq<Node>(node)) {
        const items = node.items.map((item, index) =>
            buildNode(item, undefined, `${field}[${index}]`, problems)
        );
        return { ...position, value: items };
    }
    const value = isScalar(node) ? node.value : undefined;
    const isKnown = typeof value === "string" || typeof value === "number" || typeof value === "boolean";
    return { ...position, value: isKnown ? value : undefined };
}
