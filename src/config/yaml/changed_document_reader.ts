import { ProblemList } from "../problem_list.ts";
import { BlockReader } from "./block_reader.ts";
import type { DocumentReader } from "./document_reader.ts";
import { hasUnusualText } from "./has_unusual_text.ts";
import { readLibraryYaml } from "./read_library_yaml.ts";
import type { SourceBlock } from "./source_block.ts";
import type { SourceDocument } from "./source_document.ts";
import type { SourceNode } from "./source_node.ts";

const servicesPattern = /^services: *(?:(?<= )#.*)?\n/;

/**
 * Reads one version of the texts of a configuration. Entries of the root and of `services` with the same lines
 * as in the version before keep their nodes, so that one of 9,000 changes a day costs little. Unless
 * `hasPositions`, texts with problems must be read again by `FullDocumentReader`.
 */
export class ChangedDocumentReader implements DocumentReader {
    private readonly blocks = new Map<string, SourceBlock>();
    private exact = true;

    /** `known` are the blocks of the version before, by their text. */
    constructor(private readonly known: ReadonlyMap<string, SourceBlock>) {}

    read(name: string, text: string): SourceDocument {
        const problems = new ProblemList(name, text);
        const root = this.readBlocks(text);
        this.exact &&= root === undefined;
        return { root: root ?? readWhole(text, problems), problems };
    }

    /** True when every text was read as a whole, so that the positions are those of the text. */
    hasPositions(): boolean {
        return this.exact;
    }

    /** The blocks of this version. */
    getBlocks(): ReadonlyMap<string, SourceBlock> {
        return this.blocks;
    }

    /** Undefined when the text must be read as a whole. */
    private readBlocks(text: string): SourceNode | undefined {
        const root = new Map<string, SourceNode>();
        // Content before the first entry of the root would belong to no entry.
        if (hasUnusualText(text) || getFirstIndent(text) !== 0) {
            return undefined;
        }
        for (const lines of splitBlocks(text, 0)) {
            const head = servicesPattern.exec(lines)?.[0];
            const isRead = head === undefined
                ? this.addBlock(lines, 0, root)
                : this.addServices(lines.slice(head.length), root);
            if (!isRead) {
                return undefined;
            }
        }
        return createNode(root);
    }

    private addServices(text: string, root: Map<string, SourceNode>): boolean {
        const indent = getFirstIndent(text) ?? 0;
        const services = new Map<string, SourceNode>();
        const isRead = indent > 0 && !root.has("services")
            && splitBlocks(text, indent).every(lines => this.addBlock(lines, indent, services));
        root.set("services", createNode(services));
        return isRead;
    }

    /** False when the lines are not one entry with this indentation or its key is in `entries` already. */
    private addBlock(lines: string, indent: number, entries: Map<string, SourceNode>): boolean {
        const block = this.known.get(lines) ?? readBlock(lines);
        if (block === undefined || entries.has(block.key) || lines.search(/[^ ]/) !== indent) {
            return false;
        }
        this.blocks.set(block.text, block);
        entries.set(block.key, block.node);
        return true;
    }
}

/**
 * Reads the text with the positions of all values. A text with a fault has the problems of the first faulty
 * entry only: the library takes about 2 s to find all of them, which would stop the daemon's event loop.
 */
function readWhole(text: string, problems: ProblemList): SourceNode | undefined {
    const reader = new BlockReader(text);
    const root = reader.read();
    problems.merge(reader.getFaults());
    return root ?? (problems.isEmpty() ? readLibraryYaml(text, problems) : undefined);
}

function readBlock(lines: string): SourceBlock | undefined {
    const text = Buffer.from(lines).toString();
    const value = new BlockReader(text).read()?.value;
    const entries = value instanceof Map ? [...value as ReadonlyMap<string, SourceNode>] : [];
    const [first] = entries;
    return first === undefined || entries.length > 1 ? undefined : { text, key: first[0], node: first[1] };
}

/** Indentation of the first line with content. */
function getFirstIndent(text: string): number | undefined {
    return /^( *)[^ \n#]/m.exec(text)?.[1]!.length;
}

/** Splits a text before each line with content that is indented by at most `indent` spaces. */
function splitBlocks(text: string, indent: number): readonly string[] {
    const pattern = new RegExp(`^ {0,${indent}}[^ \\n#]`, "gm");
    const starts = [...text.matchAll(pattern)].map(match => match.index);
    return starts.map((start, index) => text.slice(start, starts[index + 1]));
}

function createNode(value: ReadonlyMap<string, SourceNode>): SourceNode {
    return { offset: 0, keyOffset: 0, value };
}
