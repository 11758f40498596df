/** One row of the documentation of the configuration. */
export interface FieldRow {
    /** Path of the field; `NAME` stands for a name that the operators choose. */
    readonly field: string;
    /** Type and range. */
    readonly type: string;
    /** Empty when the value has no unit. */
    readonly unit: string;
    /** Default value as JSON; undefined when the field is required. */
    readonly defaultValue: string | undefined;
    readonly description: string;
}
