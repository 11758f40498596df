import { Code } from "../../core/code.ts";
import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { FieldType } from "./field_type.ts";
import { formatFound } from "./format_found.ts";
import type { JsonSchema } from "./json_schema.ts";

interface NumberOptions {
    /** Inclusive. */
    readonly minimum: number;
    /** Inclusive. */
    readonly maximum: number;
    readonly integer: boolean;
}

/** A number within a range. */
export class NumberType implements FieldType<number> {
    constructor(private readonly options: NumberOptions) {}

    parse(node: SourceNode, field: string, problems: ProblemList): number | undefined {
        const { value } = node;
        const { minimum, maximum, integer } = this.options;
        const inRange = typeof value === "number" && value >= minimum && value <= maximum;
        if (!inRange || (integer && !Number.isInteger(value))) {
            problems.add(
                Code.ConfigBadValue,
                node.offset,
                field,
                `must be ${this.format()}, found ${formatFound(node)}`,
            );
            return undefined;
        }
        return value;
    }

    encode(value: number): unknown {
        return value;
    }

    format(): string {
        const { minimum, maximum, integer } = this.options;
        return `${integer ? "an integer" : "a number"} from ${minimum} to ${maximum}`;
    }

    buildSchema(): JsonSchema {
        const { minimum, maximum, integer } = this.options;
        return { type: integer ? "integer" : "number", minimum, maximum };
    }

    list(): readonly [] {
        return [];
    }
}
