import type { MessageHeader } from "../core/message_header.ts";

/** What the headers of a caller's request say. */
export interface RequestMetadata {
    /** Undefined when the entry daemon gives the request an identifier. */
    readonly requestId: string | undefined;
    readonly organisation: string;
    readonly idempotencyKey: string | undefined;
    /** Time budget in milliseconds that the caller gave. */
    readonly budgetMs: number | undefined;
    /** Headers to pass on, without those that the other fields stand for. */
    readonly headers: readonly MessageHeader[];
}
