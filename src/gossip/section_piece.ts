/** Part of a transferred document: a run of sections that the receiver has, or the content of one section. */
export interface SectionPiece {
    /** Index of the first section of the run in the receiver's version. */
    readonly copyStart: number;
    /** Length of the run; 0 when the piece holds content. */
    readonly copyCount: number;
    readonly content: string;
}
