import type { Code } from "../core/code.ts";
import type { Problem } from "./problem.ts";

/** Collects the problems of one text and computes the line and column of each. */
export class ProblemList {
    private readonly problems: Problem[] = [];
    /** Indexes of the first character of each line; built when the first problem is added. */
    private lineStarts: readonly number[] | undefined;

    constructor(private readonly source: string, private readonly text: string) {}

    /** `offset` is an index in the text. */
    add(code: Code, offset: number, field: string, message: string): void {
        this.lineStarts ??= listLineStarts(this.text);
        const line = countLines(this.lineStarts, offset);
        const column = offset - this.lineStarts[line - 1]! + 1;
        this.problems.push({ code, source: this.source, line, column, field, message });
    }

    /** Adds problems that were found in a part of the text, under this list's source name. */
    merge(problems: readonly Problem[]): void {
        this.problems.push(...problems.map(problem => ({ ...problem, source: this.source })));
    }

    /** The problems in the order of the text. */
    list(): readonly Problem[] {
        return this.problems.toSorted((left, right) => left.line - right.line || left.column - right.column);
    }

    count(): number {
        return this.problems.length;
    }

    isEmpty(): boolean {
        return this.problems.length === 0;
    }
}

function listLineStarts(text: string): readonly number[] {
    const starts = [0];
    for (let index = text.indexOf("\n"); index >= 0; index = text.indexOf("\n", index + 1)) {
        starts.push(index + 1);
    }
    return starts;
}

/** Number of lines that start at or before `offset`. */
function countLines(starts: readonly number[], offset: number): number {
    let low = 0;
    let high = starts.length;
    while (high - low > 1) {
        const middle = (low + high) >> 1;
        if (starts[middle]! <= offset) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low + 1;
}
