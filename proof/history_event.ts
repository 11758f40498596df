import type { Code } from "../src/core/code.ts";
import type { Outcome } from "../src/core/outcome.ts";
import type { EventKind } from "./event_kind.ts";

/** One event of a recorded history. Only the fields that belong to its kind are set. */
export interface HistoryEvent {
    readonly kind: EventKind;
    /** Milliseconds of the clock that the predicates use. */
    readonly atMs: number;
    /** Caller, daemon or upstream that recorded the event. */
    readonly actor: string;
    readonly requestId?: string;
    readonly attempt?: number;
    /** Identifies the operation: the idempotency key, or the request identifier when there is no key. */
    readonly operation?: string;
    readonly idempotent?: boolean;
    readonly service?: string;
    readonly upstreamId?: string;
    readonly outcome?: Outcome;
    readonly code?: Code;
    /** HTTP status of an answer. */
    readonly status?: number;
    /** Content of an answer, or a digest of it. */
    readonly content?: string;
    /** Version of a configuration. */
    readonly version?: number;
    /** Upstreams in rotation, for `RotationComputed`. */
    readonly members?: readonly string[];
    readonly live?: number;
    readonly floor?: number;
    readonly detail?: string;
}
