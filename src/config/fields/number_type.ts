import type { ProblemList } from "../problem_list.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import { addBadValue } from "./add_bad_value.ts";
import type { FieldType } from "./field_type.ts";
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
            addBadValue(node, field, problems, this.format());
            return undefined;
        }
        // Turns -0 into 0: JSON has no negative zero, so a value and its copy at a peer would differ.
        return value + 0;
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

    listRows(): readonly [] {
        return [];
    }
}
