/** Names a published value that holds a part of the configuration. */
export interface PartReference {
    readonly name: string;
    /** SHA-256 of the content of the value, in hexadecimal. */
    readonly digest: string;
}
