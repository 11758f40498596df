import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";

interface TextOptions {
    /** What the pattern accepts, in words. */
    readonly meaning: string;
    readonly pattern: RegExp;
    /** In UTF-16 units. */
    readonly maxLength: number;
}

/** Text that matches a pattern. */
export class TextType implements FieldType<string> {
    constructor(private readonly options: TextOptions) {}

    parse(node: SourceNode, field: string, problems: ProblemList): string | undefined {
        const { value } = node;
        if (typeof value !== "string" || !this.isValid(value)) {
            addBadValue(node, field, problems, this.format());
            return undefined;
        }
        return value;
    }

    /** True when the text is a value of this type. */
    isValid(text: string): boolean {
        return text.length <= this.options.maxLength && this.options.pattern.test(text);
    }

    encode(value: string): unknown {
        return value;
    }

    format(): string {
        return `${this.options.meaning} of at most ${this.options.maxLength} characters`;
    }

    buildSchema(): JsonSchema {
        return { type: "string", pattern: this.options.pattern.source, maxLength: this.options.maxLength };
    }

    listRows(): readonly [] {
        return [];
    }
}
