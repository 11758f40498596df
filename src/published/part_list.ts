/** Content of the value `head` of a configuration that is larger than one value of the platform. */
export interface PartList {
    /** SHA-256 of the concatenated parts, in hexadecimal. */
    readonly digest: string;
    /** Names of the values that contain the parts, in order. */
    readonly parts: readonly string[];
}
