import type { FieldType } from "./field_type.ts";

/** One field of the configuration. */
export interface Field<Value> {
    /** Name in YAML when it differs from the name of the property. */
    readonly name?: string;
    readonly type: FieldType<Value>;
    readonly unit?: string;
    /** Undefined for a required field. */
    readonly defaultValue?: Value;
    readonly description: string;
}
