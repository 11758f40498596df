import type { InstanceList } from "./instance_list.ts";

/** Instance list that has not been merged into the membership table yet. */
export interface InstanceCandidate {
    readonly list: InstanceList;
    /** SHA-256 of the encoded list, in hexadecimal. */
    readonly digest: string;
    readonly cause: string;
}
