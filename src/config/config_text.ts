/** The text of a configuration as the platform publishes it. */
export interface ConfigText {
    readonly name: string;
    readonly source: string;
    /** Contents of the parts that the text lists, by name. */
    readonly parts: ReadonlyMap<string, string>;
}
