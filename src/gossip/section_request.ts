import type { DocumentName } from "./document_name.ts";

/** Requests the difference of a peer's document from the version that the sender holds. */
export interface SectionRequest {
    readonly document: DocumentName;
    /** Version and digest that the sender holds; 0 and empty to receive the complete document. */
    readonly baseVersion: number;
    readonly baseDigest: string;
    /** Section digests of that version, in order; sent only after a reply with `baseUnknown`. */
    readonly knownDigests: readonly string[];
}
