/** A value of the stand-in platform with its version. */
export interface VersionedValue {
    readonly version: number;
    readonly content: string;
}
