import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { Field } from "./field.ts";
import type { FieldRow } from "./field_row.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";

type FieldTable<Value> = { readonly [Key in keyof Value]-?: Field<Value[Key]>; };

interface NamedField<Value> {
    readonly key: keyof Value;
    readonly name: string;
    readonly field: Field<Value[keyof Value]>;
}

/** A map with fixed fields. The compiler checks the table against the properties of `Value`. */
export class RecordType<Value extends object> implements FieldType<Value> {
    private readonly fields: ReadonlyMap<string, NamedField<Value>>;

    constructor(table: FieldTable<Value>) {
        const keys = Object.keys(table) as (keyof Value & string)[];
        this.fields = new Map(keys.map(key => {
            const name = table[key].name ?? key;
            return [name, { key, name, field: table[key] }];
        }));
    }

    parse(node: SourceNode, field: string, problems: ProblemList): Value | undefined {
        const { value } = node;
        if (!(value instanceof Map)) {
            addBadValue(node, field, problems, this.format());
            return undefined;
        }
        const nodes = value as ReadonlyMap<string, SourceNode>;
        for (const [name, itemNode] of nodes) {
            if (!this.fields.has(name)) {
                problems.add(
                    Code.ConfigUnknownField,
                    itemNode.keyOffset,
                    addName(field, name),
                    `unknown field; known are ${[...this.fields.keys()].join(", ")}`,
                );
            }
        }
        const record: Partial<Value> = {};
        let complete = true;
        for (const entry of this.fields.values()) {
            const item = this.parseField(entry, node, nodes.get(entry.name), field, problems);
            if (item === undefined) {
                complete = false;
            }
            record[entry.key] = item;
        }
        return complete ? record as Value : undefined;
    }

    /** A value in which each field has its default. */
    buildDefault(): Value {
        const record: Partial<Value> = {};
        for (const { key, field } of this.fields.values()) {
            record[key] = field.defaultValue;
        }
        return record as Value;
    }

    encode(value: Value): unknown {
        const record: Record<string, unknown> = {};
        for (const { key, name, field } of this.fields.values()) {
            record[name] = field.type.encode(value[key]);
        }
        return record;
    }

    format(): string {
        return "a map of fields";
    }

    buildSchema(): JsonSchema {
        const properties: Record<string, JsonSchema> = {};
        const required: string[] = [];
        for (const { name, field } of this.fields.values()) {
            const { description, defaultValue, type } = field;
            properties[name] = { description, ...type.buildSchema() };
            if (defaultValue === undefined) {
                required.push(name);
            }
            else {
                properties[name] = { ...properties[name], default: type.encode(defaultValue) };
            }
        }
        return { type: "object", properties, required, additionalProperties: false };
    }

    listRows(path: string): readonly FieldRow[] {
        return [...this.fields.values()].flatMap(({ name, field }) => {
            const { type, unit = "", defaultValue, description } = field;
            const row = {
                field: addName(path, name),
                type: type.format(),
                unit,
                defaultValue: defaultValue === undefined
                    ? undefined
                    : JSON.stringify(type.encode(defaultValue)),
                description,
            };
            return [row, ...type.listRows(row.field)];
        });
    }

    private parseField(
        entry: NamedField<Value>,
        parent: SourceNode,
        node: SourceNode | undefined,
        path: string,
        problems: ProblemList,
    ): Value[keyof Value] | undefined {
        if (node !== undefined) {
            return entry.field.type.parse(node, addName(path, entry.name), problems);
        }
        if (entry.field.defaultValue === undefined) {
            problems.add(
                Code.ConfigMissingField,
                parent.keyOffset,
                addName(path, entry.name),
                "required field is missing",
            );
        }
        return entry.field.defaultValue;
    }
}

function addName(path: string, name: string): string {
    return path === "" ? name : `${path}.${name}`;
}
