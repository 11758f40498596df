import type { MessageHeader } from "../core/message_header.ts";

/** A caller's request as a front end hands it over. */
export interface IncomingRequest {
    readonly method: string;
    /** Value of the `Host` header; empty when there is none. */
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** Without the headers that concern one connection only. */
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
    /** Aborted when the caller closes its connection. */
    readonly signal: AbortSignal;
}
