import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { FieldRow } from "./field_row.ts";
import type { JsonSchema } from "./json_schema.ts";

/** Type of a field: parses and encodes values, and describes them to operators and editors. */
export interface FieldType<Value> {
    /** Reads the value at `node`; adds a problem and returns undefined when it is not of this type. */
    parse(node: SourceNode, field: string, problems: ProblemList): Value | undefined;
    /** Converts the value to plain data for YAML or JSON. */
    encode(value: Value): unknown;
    /** Type and range in words, for example `integer from 1 to 100`. */
    format(): string;
    buildSchema(): JsonSchema;
    /** Rows of the fields inside this type, each with its path below `field`. */
    listRows(field: string): readonly FieldRow[];
}
