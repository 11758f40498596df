import type { DocumentHead } from "./document_head.ts";
import type { SectionPiece } from "./section_piece.ts";

/** The document in force at a peer, as a difference from the version that was asked for. */
export interface SectionResponse {
    readonly head: DocumentHead;
    /** True when the peer does not remember the base; `pieces` is then empty. */
    readonly baseUnknown: boolean;
    readonly pieces: readonly SectionPiece[];
}
