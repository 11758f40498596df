import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { FieldType } from "./field_type.ts";
import { formatFound } from "./format_found.ts";
import type { JsonSchema } from "./json_schema.ts";

/** One of several words. */
export class ChoiceType<Value extends string> implements FieldType<Value> {
    constructor(private readonly values: readonly Value[]) {}

    parse(node: SourceNode, field: string, problems: ProblemList): Value | undefined {
        const found = this.values.find(value => value === node.value);
        if (found === undefined) {
            problems.add(
                Code.ConfigBadValue,
                node.offset,
                field,
                `must be ${this.format()}, found ${formatFound(node)}`,
            );
        }
        return found;
    }

    encode(value: Value): unknown {
        return value;
    }

    format(): string {
        return `one of ${this.values.join(", ")}`;
    }

    buildSchema(): JsonSchema {
        return { enum: this.values };
    }

    list(): readonly [] {
        return [];
    }
}
