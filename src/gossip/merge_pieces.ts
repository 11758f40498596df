import type { Section } from "./section.ts";
import type { SectionPiece } from "./section_piece.ts";

/** Section contents that the pieces describe; undefined when a run lies outside the base. */
export function mergePieces(
    base: readonly Section[],
    pieces: readonly SectionPiece[],
): readonly string[] | undefined {
    const contents: string[] = [];
    for (const { copyStart, copyCount, content } of pieces) {
        if (copyCount === 0) {
            contents.push(content);
            continue;
        }
        if (copyStart < 0 || copyCount < 0 || copyStart + copyCount > base.length) {
            return undefined;
        }
        for (const section of base.slice(copyStart, copyStart + copyCount)) {
            contents.push(section.content);
        }
    }
    return contents;
}
