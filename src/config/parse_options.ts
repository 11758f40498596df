/** Where the text of a configuration comes from. */
export interface ParseOptions {
    /** Name of the file or published value, for messages. */
    readonly name?: string;
    /** Contents of the parts that the configuration lists, by name. */
    readonly parts?: ReadonlyMap<string, string>;
}
