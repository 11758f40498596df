import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";

export class BooleanType implements FieldType<boolean> {
    parse(node: SourceNode, field: string, problems: ProblemList): boolean | undefined {
        if (typeof node.value !== "boolean") {
            addBadValue(node, field, problems, this.format());
            return undefined;
        }
        return node.value;
    }

    encode(value: boolean): unknown {
        return value;
    }

    format(): string {
        return "true or false";
    }

    buildSchema(): JsonSchema {
        return { type: "boolean" };
    }

    listRows(): readonly [] {
        return [];
    }
}
