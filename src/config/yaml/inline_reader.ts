import { parsePlainScalar } from "./parse_plain_scalar.ts";
import type { SourceNode } from "./source_node.ts";

const plainPattern = /(?:-(?=[^ \n])|[^ \n\-?:,[\]{}#&*!|>'"%@`])[^\n]*/y;
const flowPlainPattern = /[A-Za-z0-9/_.+][A-Za-z0-9/_.+-]*(?: [A-Za-z0-9/_.+-]+)*/y;
const flowKeyPattern = /([A-Za-z][A-Za-z0-9_-]*): +/y;
const quotedPattern = /"[^"\\\n]*"|'[^'\n]*'(?!')/y;
const separatorPattern = / *, */y;
const lineEndPattern = / *(?:(?<= )#[^\n]*)?(?:\n|$)/y;
const spacePattern = / */y;

/**
 * Reads values that begin and end on one line: plain and quoted scalars, and flow collections of these.
 * Each method returns undefined for text that it does not read, which may still be YAML.
 */
export class InlineReader {
    private offset = 0;

    constructor(private readonly text: string) {}

    /** Reads the value at `offset`, which must be the last on its line apart from a comment. */
    read(offset: number): SourceNode | undefined {
        this.offset = offset;
        const first = this.text[offset];
        if (first !== "[" && first !== "{" && first !== '"' && first !== "'") {
            return this.readPlain();
        }
        const node = this.readFlow();
        return node !== undefined && this.take(lineEndPattern) !== undefined ? node : undefined;
    }

    private readPlain(): SourceNode | undefined {
        const offset = this.offset;
        const line = this.take(plainPattern);
        const comment = line?.indexOf(" #") ?? -1;
        if (line === undefined) {
            return undefined;
        }
        let end = comment < 0 ? line.length : comment;
        // Other white space than spaces belongs to the value.
        while (line[end - 1] === " ") {
            end -= 1;
        }
        const text = line.slice(0, end);
        if (text.includes(": ") || text.endsWith(":")) {
            return undefined;
        }
        return createNode(offset, parsePlainScalar(text));
    }

    private readFlow(): SourceNode | undefined {
        const offset = this.offset;
        switch (this.text[offset]) {
            case "[":
                return this.readFlowList();
            case "{":
                return this.readFlowMap();
            case '"':
            case "'":
                return createNode(offset, this.take(quotedPattern)?.slice(1, -1));
            default: {
                const text = this.take(flowPlainPattern);
                return text === undefined ? undefined : createNode(offset, parsePlainScalar(text));
            }
        }
    }

    private readFlowList(): SourceNode | undefined {
        const offset = this.offset;
        const items: SourceNode[] = [];
        this.startCollection();
        while (!this.takeEnd("]")) {
            const item = this.hasSeparator(items.length) ? this.readFlow() : undefined;
            if (item === undefined) {
                return undefined;
            }
            items.push(item);
        }
        return createNode(offset, items);
    }

    private readFlowMap(): SourceNode | undefined {
        const offset = this.offset;
        const entries = new Map<string, SourceNode>();
        this.startCollection();
        while (!this.takeEnd("}")) {
            const separated = this.hasSeparator(entries.size);
            const keyOffset = this.offset;
            const key = separated ? this.take(flowKeyPattern)?.trimEnd().slice(0, -1) : undefined;
            const item = key === undefined || entries.has(key) ? undefined : this.readFlow();
            if (key === undefined || item === undefined) {
                return undefined;
            }
            entries.set(key, { ...item, keyOffset });
        }
        return createNode(offset, entries);
    }

    private startCollection(): void {
        this.offset += 1;
        this.take(spacePattern);
    }

    /** Passes the end of a collection and the spaces before it. */
    private takeEnd(end: string): boolean {
        const offset = this.offset;
        this.take(spacePattern);
        if (this.text[this.offset] === end) {
            this.offset += 1;
            return true;
        }
        this.offset = offset;
        return false;
    }

    private hasSeparator(count: number): boolean {
        return count === 0 || this.take(separatorPattern) !== undefined;
    }

    /** Passes and returns the text that the sticky pattern matches at the current offset. */
    private take(pattern: RegExp): string | undefined {
        pattern.lastIndex = this.offset;
        const text = pattern.exec(this.text)?.[0];
        this.offset += text?.length ?? 0;
        return text;
    }
}

function createNode(offset: number, value: SourceNode["value"]): SourceNode | undefined {
    return value === undefined ? undefined : { offset, keyOffset: offset, value };
}
