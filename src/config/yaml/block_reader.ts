/**
 * Reads the YAML that configurations mostly consist of, block maps of plain values, without tokens.
 *
 * The library's document mode took 2,100 ms for 1,000 services and 5,000 routes, its lexer alone 310 ms. At
 * 9,000 changes a day a daemon that reads each of them may spend 182 ms on one, to stay within 1.9% of a core.
 * Values that this reader does not know are read by the library one entry at a time. When the library finds
 * a fault there, the reader gives up, and the caller uses `getFaults` or lets the library read the whole text.
 *
 * @example
 * ```ts
 * const root = new BlockReader("team: test\nservices: {}\n").read();
 * ```
 *
 * @module
 */
import type { Problem } from "../problem.ts";
import { ProblemList } from "../problem_list.ts";
import { hasUnusualText } from "./has_unusual_text.ts";
import { InlineReader } from "./inline_reader.ts";
import { readLibraryYaml } from "./read_library_yaml.ts";
import type { SourceNode } from "./source_node.ts";

const indentPattern = /(?: *(?:#[^\n]*)?\n)*( *)/y;
const keyPattern = /([A-Za-z][A-Za-z0-9_-]*):(?=[ \n]|$) */y;

/** Reader of one text. */
export class BlockReader {
    private readonly inline: InlineReader;
    /** Index of the first character of the current line. */
    private lineStart = 0;
    /** Index of the first character after the indentation. */
    private offset = 0;
    /** -1 at the end of the text. */
    private indent = -1;
    private failed = false;
    /** Keys that lead to the current map. */
    private readonly path: string[] = [];
    private faults: readonly Problem[] = [];

    constructor(private readonly text: string) {
        this.inline = new InlineReader(text);
    }

    /** Undefined when the text must be read by the library, because it is unusual or has a fault. */
    read(): SourceNode | undefined {
        if (hasUnusualText(this.text)) {
            return undefined;
        }
        this.setLine(0);
        const root = this.indent < 0 ? undefined : this.readMap(this.indent);
        return this.failed || this.indent >= 0 ? undefined : root;
    }

    /**
     * The faults that the library found in one entry and that the whole text has for certain; empty when there
     * are none or a fault may come from reading the entry on its own. Other entries may have faults too.
     */
    getFaults(): readonly Problem[] {
        return this.faults;
    }

    private readMap(indent: number): SourceNode | undefined {
        const { offset } = this;
        const entries = new Map<string, SourceNode>();
        while (this.indent === indent) {
            const keyOffset = this.offset;
            keyPattern.lastIndex = keyOffset;
            const key = keyPattern.exec(this.text)?.[1];
            if (key === undefined || entries.has(key)) {
                return undefined;
            }
            const lineStart = this.lineStart;
            this.path.push(key);
            const known = this.readValue(keyPattern.lastIndex, indent);
            this.path.pop();
            const value = known !== undefined && this.indent <= indent
                ? known
                : this.readEntry(lineStart, indent);
            if (this.failed || value === undefined) {
                return undefined;
            }
            entries.set(key, { offset: value.offset, keyOffset, value: value.value });
        }
        return entries.size > 0 ? { offset, keyOffset: offset, value: entries } : undefined;
    }

    /** Reads the value of a key, which begins at `start` or on a line below; ends at the start of a line. */
    private readValue(start: number, indent: number): SourceNode | undefined {
        const first = this.text[start];
        this.setLine(this.findLineEnd(start));
        if (first !== undefined && first !== "\n" && first !== "#") {
            return this.inline.read(start);
        }
        if (this.isItem() && this.indent >= indent) {
            return this.readList(this.indent);
        }
        return this.indent > indent ? this.readMap(this.indent) : undefined;
    }

    private readList(indent: number): SourceNode | undefined {
        const { offset } = this;
        const items: SourceNode[] = [];
        while (this.indent === indent && this.isItem()) {
            const start = this.offset + 2;
            const item = this.inline.read(start);
            this.setLine(this.findLineEnd(start));
            if (item === undefined || this.indent > indent) {
                return undefined;
            }
            items.push(item);
        }
        return { offset, keyOffset: offset, value: items };
    }

    /** Lets the library read the entry that begins at `lineStart`, with all lines that belong to it. */
    private readEntry(lineStart: number, indent: number): SourceNode | undefined {
        if (this.failed) {
            return undefined;
        }
        this.setLine(this.findLineEnd(lineStart));
        while (this.indent > indent || (this.indent === indent && this.isItem())) {
            this.setLine(this.findLineEnd(this.offset));
        }
        const text = this.text.slice(lineStart, this.lineStart);
        const problems = new ProblemList("", text);
        const entries = readLibraryYaml(text, problems)?.value;
        this.failed = !problems.isEmpty() || !(entries instanceof Map) || entries.size !== 1;
        if (this.failed) {
            // The library accepts the end of a flow collection on a line that is not part of the entry.
            const isCertain = this.text[this.offset] !== "]" && this.text[this.offset] !== "}";
            this.faults = isCertain ? problems.list().map(problem => this.addPlace(problem, lineStart)) : [];
            return undefined;
        }
        const [value] = (entries as ReadonlyMap<string, SourceNode>).values();
        return addOffset(value!, lineStart);
    }

    /** Turns the place in an entry that begins at `lineStart` into the place in the text. */
    private addPlace(problem: Problem, lineStart: number): Problem {
        const line = problem.line + this.text.slice(0, lineStart).split("\n").length - 1;
        const field = problem.field === "" ? "" : [...this.path, problem.field].join(".");
        return { ...problem, line, field };
    }

    /** Goes to the first line at or after `lineStart` with more than a comment. */
    private setLine(lineStart: number): void {
        indentPattern.lastIndex = lineStart;
        const indent = indentPattern.exec(this.text)![1]!.length;
        this.offset = indentPattern.lastIndex;
        this.lineStart = this.offset - indent;
        const isEnd = this.offset >= this.text.length || this.text[this.offset] === "#";
        this.indent = isEnd ? -1 : indent;
    }

    /** Index of the first character of the line after the one that contains `offset`. */
    private findLineEnd(offset: number): number {
        const end = this.text.indexOf("\n", offset);
        return end < 0 ? this.text.length : end + 1;
    }

    private isItem(): boolean {
        return this.text.startsWith("- ", this.offset);
    }
}

/** Shifts the positions of a tree. */
function addOffset(node: SourceNode, distance: number): SourceNode {
    const { value } = node;
    const place = { offset: node.offset + distance, keyOffset: node.keyOffset + distance };
    if (value instanceof Map) {
        const entries = [...value as ReadonlyMap<string, SourceNode>];
        return { ...place, value: new Map(entries.map(([key, item]) => [key, addOffset(item, distance)])) };
    }
    if (Array.isArray(value)) {
        return { ...place, value: (value as readonly SourceNode[]).map(item => addOffset(item, distance)) };
    }
    return { ...place, value };
}
