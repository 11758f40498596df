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

function createSection(name: string, node: SourceNode): ConfigSection {
    const content = JSON.stringify(encodeNode(node));
    return { name, digest: computeSha256(content), content };
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
