import type { DocumentName } from "./document_name.ts";

/** Version and digest of the document that a daemon has in force. */
export interface DocumentHead {
    readonly name: DocumentName;
    /** Version given by the platform; 0 when the daemon has none. */
    readonly version: number;
    /** SHA-256 of all sections joined, in hexadecimal. */
    readonly digest: string;
}
