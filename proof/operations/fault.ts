import type { FaultKind } from "./fault_kind.ts";

export interface Fault {
    readonly kind: FaultKind;
    readonly atMs: number;
    /** Index of the affected daemon. */
    readonly daemon: number;
    /** Index of the daemon at the other end of the link. */
    readonly peer: number;
    readonly durationMs: number;
}
