import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { FieldRow } from "./field_row.ts";
import type { FieldType } from "./field_type.ts";
import type { JsonSchema } from "./json_schema.ts";
import type { TextType } from "./text_type.ts";

/** A map from names that the operators choose to values of one type. */
export class MapType<Item> implements FieldType<ReadonlyMap<string, Item>> {
    constructor(
        private readonly key: TextType,
        private readonly item: FieldType<Item>,
        /** What an entry is called in error messages. */
        private readonly itemName: string,
    ) {}

    parse(node: SourceNode, field: string, problems: ProblemList): ReadonlyMap<string, Item> | undefined {
        const { value } = node;
        if (!(value instanceof Map)) {
            addBadValue(node, field, problems, this.format());
            return undefined;
        }
        const entries = new Map<string, Item>();
        for (const [name, itemNode] of value as ReadonlyMap<string, SourceNode>) {
            const path = `${field}.${name}`;
            if (!this.key.isValid(name)) {
                problems.add(
                    Code.ConfigBadValue,
                    itemNode.keyOffset,
                    path,
                    `the name of a ${this.itemName} must be ${this.key.format()}`,
                );
            }
            const item = this.item.parse(itemNode, path, problems);
            if (item !== undefined) {
                entries.set(name, item);
            }
        }
        return entries;
    }

    encode(value: ReadonlyMap<string, Item>): unknown {
        return Object.fromEntries([...value].map(([name, item]) => [name, this.item.encode(item)]));
    }

    format(): string {
        return `a map from the name of each ${this.itemName} to its fields`;
    }

    buildSchema(): JsonSchema {
        return {
            type: "object",
            propertyNames: this.key.buildSchema(),
            additionalProperties: this.item.buildSchema(),
        };
    }

    listRows(field: string): readonly FieldRow[] {
        return this.item.listRows(`${field}.NAME`);
    }
}
