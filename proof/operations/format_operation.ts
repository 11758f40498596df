import { Buffer } from "node:buffer";

interface Request {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly body: Uint8Array;
}

/** Names the operation of a request: key and body, or the request identifier when there is no key. */
export function formatOperation({ requestId, idempotencyKey, body }: Request): string {
    return `${idempotencyKey ?? requestId}#${Buffer.from(body).toString()}`;
}
