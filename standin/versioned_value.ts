/** A value of the stand-in platform. */
export interface VersionedValue {
    readonly version: number;
    readonly content: string;
}
