import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { FieldRow } from "./field_row.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";

/** Keeps the valid values of another type, so that a map that was read before is not checked again. */
export class MemoType<Value> implements FieldType<Value> {
    private readonly values = new WeakMap<object, Value>();

    constructor(private readonly inner: FieldType<Value>) {}

    parse(node: SourceNode, field: string, problems: ProblemList): Value | undefined {
        const source = node.value;
        const known = typeof source === "object" ? this.values.get(source) : undefined;
        if (known !== undefined) {
            return known;
        }
        const count = problems.count();
        const value = this.inner.parse(node, field, problems);
        if (value !== undefined && typeof source === "object" && problems.count() === count) {
            this.values.set(source, value);
        }
        return value;
    }

    encode(value: Value): unknown {
        return this.inner.encode(value);
    }

    format(): string {
        return this.inner.format();
    }

    buildSchema(): JsonSchema {
        return this.inner.buildSchema();
    }

    list(field: string): readonly FieldRow[] {
        return this.inner.list(field);
    }
}
