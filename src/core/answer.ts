import type { MessageHeader } from "./message_header.ts";

/** A complete HTTP response. */
export interface Answer {
    readonly status: number;
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
}
