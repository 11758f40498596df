/** A value of a YAML text with its position. */
export interface SourceNode {
    /** Index of the value's first character in the text. */
    readonly offset: number;
    /** Index of the key that leads to the value; equals `offset` for items of lists and for the root. */
    readonly keyOffset: number;
    /** Undefined for an empty value. */
    readonly value:
        | string
        | number
        | boolean
        | undefined
        | readonly SourceNode[]
        | ReadonlyMap<string, SourceNode>;
}
