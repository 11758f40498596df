import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";

/** One of several fixed strings. */
export class ChoiceType<Value extends string> implements FieldType<Value> {
    constructor(private readonly values: readonly Value[]) {}

    parse(node: SourceNode, field: string, problems: ProblemList): Value | undefined {
        const found = this.values.find(value => value === node.value);
        if (found === undefined) {
            addBadValue(node, field, problems, this.format());
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

    listRows(): readonly [] {
        return [];
    }
}
