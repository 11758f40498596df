/** Content of the value `head` of a configuration that is larger than one value of the platform. */
export interface PartList {
    /** SHA-256 of all parts joined, in hexadecimal. */
    readonly digest: string;
    /** Names of the values that hold the parts, in order. */
    readonly parts: readonly string[];
}
