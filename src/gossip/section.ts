/** Part of a document that is transferred as a unit. */
export interface Section {
    /** First 64 bits of the SHA-256 of the content, in hexadecimal; the whole document has a full digest. */
    readonly digest: string;
    readonly content: string;
}
