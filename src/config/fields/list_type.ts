import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { FieldRow } from "./field_row.ts";
import type { FieldType } from "./field_type.ts";
import { formatFoundValue } from "./format_found_value.ts";
import type { JsonSchema } from "./json_schema.ts";

/** A list of distinct values of one type. */
export class ListType<Item> implements FieldType<readonly Item[]> {
    constructor(private readonly item: FieldType<Item>, private readonly maxLength: number) {}

    parse(node: SourceNode, field: string, problems: ProblemList): readonly Item[] | undefined {
        const { value } = node;
        if (!isList(value) || value.length > this.maxLength) {
            const found = isList(value) ? `${value.length} items` : formatFoundValue(node);
            problems.add(Code.ConfigBadValue, node.offset, field, `must be ${this.format()}, found ${found}`);
            return undefined;
        }
        const items: Item[] = [];
        const seen = new Set<unknown>();
        for (const [index, itemNode] of value.entries()) {
            const item = this.item.parse(itemNode, `${field}[${index}]`, problems);
            if (item === undefined) {
                continue;
            }
            if (seen.has(item)) {
                problems.add(
                    Code.ConfigDuplicateName,
                    itemNode.offset,
                    `${field}[${index}]`,
                    `${formatFoundValue(itemNode)} appears twice`,
                );
            }
            seen.add(item);
            items.push(item);
        }
        return items;
    }

    encode(value: readonly Item[]): unknown {
        return value.map(item => this.item.encode(item));
    }

    format(): string {
        return `a list of at most ${this.maxLength} different items, each ${this.item.format()}`;
    }

    buildSchema(): JsonSchema {
        return { type: "array", items: this.item.buildSchema(), maxItems: this.maxLength, uniqueItems: true };
    }

    listRows(field: string): readonly FieldRow[] {
        return this.item.listRows(`${field}[]`);
    }
}

function isList(value: SourceNode["value"]): value is readonly SourceNode[] {
    return Array.isArray(value);
}
