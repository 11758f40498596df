import type { Section } from "./section.ts";
import type { SectionPiece } from "./section_piece.ts";

/** Encodes `sections` as runs of a base with the given section digests, and as content where they differ. */
export function buildPieces(
    base: readonly string[],
    sections: readonly Section[],
): readonly SectionPiece[] {
    const indexes = new Map(base.map((digest, index) => [digest, index]));
    const pieces: SectionPiece[] = [];
    let run: { copyStart: number; copyCount: number; content: string; } | undefined;
    for (const section of sections) {
        const index = indexes.get(section.digest);
        if (index === undefined) {
            run = undefined;
            pieces.push({ copyStart: 0, copyCount: 0, content: section.content });
        }
        else if (run !== undefined && index === run.copyStart + run.copyCount) {
            run.copyCount += 1;
        }
        else {
            run = { copyStart: index, copyCount: 1, content: "" };
            pieces.push(run);
        }
    }
    return pieces;
}
