import type { InstanceList } from "./instance_list.ts";

/** An instance list on its way to the membership table. */
export interface InstanceCandidate {
    readonly list: InstanceList;
    /** SHA-256 of the encoded list, in hexadecimal. */
    readonly digest: string;
    readonly cause: string;
}
