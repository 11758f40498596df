import type { MessageHeader } from "../core/message_header.ts";

/** A request as received from a caller by a front end. */
export interface IncomingRequest {
    readonly method: string;
    /** Value of the `Host` header; empty when there is none. */
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** Without hop-by-hop headers. */
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
    /** Aborted when the caller closes its connection. */
    readonly signal: AbortSignal;
}
