import { Buffer } from "node:buffer";
import type { IdempotencyKey } from "./idempotency_key.ts";

/** Encodes a key as text that is safe in an HTTP header. */
export function encodeKey(key: IdempotencyKey): string {
    const fields = [key.ownerId, key.incarnation, key.expiresAtMs, key.nonce];
    return `zk1.${Buffer.from(JSON.stringify(fields)).toString("base64url")}`;
}
