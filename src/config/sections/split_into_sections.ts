import { computeSha256 } from "../compute_sha256.ts";
import type { SourceDocument } from "../yaml/source_document.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { ConfigSection } from "./config_section.ts";

/** Sections of a checked configuration; comments, layout and the distribution over parts have no effect. */
export function splitIntoSections(documents: readonly SourceDocument[]): readonly ConfigSection[] {
    const sections: ConfigSection[] = [];
    for (const { root } of documents) {
        const { team, services } = getEntries(root);
        if (team !== undefined) {
            sections.push(createSection("team", team));
        }
        for (const [name, service] of Object.entries(getEntries(services))) {
            sections.push(createSection(`services.${name}`, service));
        }
    }
    return sections;
}

/** Sections by the value that they were made from, which successive versions share. */
const sectionsByValue = new WeakMap<object, ConfigSection>();

function createSection(name: string, node: SourceNode): ConfigSection {
    const known = typeof node.value === "object" ? sectionsByValue.get(node.value) : undefined;
    if (known?.name === name) {
        return known;
    }
    const content = JSON.stringify(encodeNode(node));
    const section = { name, digest: computeSha256(content), content };
    if (typeof node.value === "object") {
        sectionsByValue.set(node.value, section);
    }
    return section;
}

function getEntries(node: SourceNode | undefined): Readonly<Record<string, SourceNode>> {
    return node?.value instanceof Map
        ? Object.fromEntries(node.value as ReadonlyMap<string, SourceNode>)
        : {};
}

function encodeNode(node: SourceNode): unknown {
    const { value } = node;
    if (value instanceof Map) {
        const entries = [...value as ReadonlyMap<string, SourceNode>];
        return Object.fromEntries(entries.map(([key, item]) => [key, encodeNode(item)]));
    }
    return Array.isArray(value) ? (value as readonly SourceNode[]).map(encodeNode) : value;
}
