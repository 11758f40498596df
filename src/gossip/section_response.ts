import type { DocumentHead } from "./document_head.ts";
import type { SectionPiece } from "./section_piece.ts";

/** The active document of a peer, as a difference from the base in the request. */
export interface SectionResponse {
    readonly head: DocumentHead;
    /** True when the peer no longer has the section digests of the base; `pieces` is then empty. */
    readonly baseUnknown: boolean;
    readonly pieces: readonly SectionPiece[];
}
