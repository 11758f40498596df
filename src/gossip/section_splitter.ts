/** Splits the source text of a configuration. */
export interface SectionSplitter {
    /** The joined result equals the source; a change of one service changes few sections. */
    split(source: string): readonly string[];
}
