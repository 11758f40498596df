import type { DocumentName } from "./document_name.ts";

/** Name, version and digest of a daemon's active document. */
export interface DocumentHead {
    readonly name: DocumentName;
    /** Version assigned by the platform; 0 when the daemon has none. */
    readonly version: number;
    /** SHA-256 of all sections joined, in hexadecimal. */
    readonly digest: string;
}
