import type { Code } from "../core/code.ts";

/** Published configuration that was rejected, and the reason. */
export interface RejectedConfig {
    readonly version: number;
    readonly digest: string;
    readonly code: Code;
    readonly detail: string;
    /** The report ends when a configuration of this version or a later one is in force. */
    readonly endsAtVersion: number;
}
