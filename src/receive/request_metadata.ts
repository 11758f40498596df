import type { MessageHeader } from "../core/message_header.ts";

/** Properties of a request that the caller sent in headers. */
export interface RequestMetadata {
    /** Undefined when the entry daemon generates the identifier. */
    readonly requestId: string | undefined;
    /** Identifier of the request whose run made this one; absent when unknown. */
    readonly parentRequestId?: string | undefined;
    readonly organisation: string;
    /** Key of an organisation that the caller sent; it stays in this daemon and appears in no log line. */
    readonly credential?: string | undefined;
    readonly idempotencyKey: string | undefined;
    /** Time budget in milliseconds that the caller gave. */
    readonly budgetMs: number | undefined;
    /** Headers to forward, without those that are decoded to the other fields. */
    readonly headers: readonly MessageHeader[];
}
