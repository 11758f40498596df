/** Splits the source text of a configuration. */
export interface SectionSplitter {
    /** The result joined is the source; a change of one service changes few sections. */
    split(source: string): readonly string[];
}
