import type { MessageHeader } from "../core/message_header.ts";

/** A caller's request as the entry daemon received it. */
export interface CallerRequest {
    readonly requestId: string;
    /** Identifier of the request whose run made this one; absent when unknown. */
    readonly parentRequestId?: string | undefined;
    readonly method: string;
    /** Host in lower case without a port; empty when the request names none. */
    readonly host: string;
    readonly path: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
    readonly organisation: string;
    /** Key of an organisation that the caller sent; it stays in this daemon and appears in no log line. */
    readonly credential?: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** Time budget in milliseconds that the caller gave. */
    readonly budgetMs: number | undefined;
    /** Monotonic milliseconds. */
    readonly receivedAtMs: number;
    /** Aborted when the caller closes its connection. */
    readonly signal: AbortSignal;
}
