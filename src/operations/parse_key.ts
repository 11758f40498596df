import { err, fromThrowable, ok, type Result } from "neverthrow";
import { Buffer } from "node:buffer";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { encodeKey } from "./encode_key.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";

const parseJson = fromThrowable((text: string) => JSON.parse(text) as unknown);

/**
 * Parses a key that `encodeKey` produced, or fails with KeyMalformed. Only the canonical encoding of a key is
 * accepted, because records are found by the encoded text: another encoding of the same key would be a second
 * operation.
 */
export function parseKey(text: string): Result<IdempotencyKey, Failure> {
    const [prefix, encoded = ""] = text.split(".", 2);
    const fields = parseJson(Buffer.from(encoded, "base64url").toString()).unwrapOr(undefined);
    if (prefix !== "zk1" || !Array.isArray(fields)) {
        return err(createFailure(Code.KeyMalformed));
    }
    const [ownerId, incarnation, expiresAtMs, nonce] = fields as unknown[];
    if (
        typeof ownerId !== "string" || typeof incarnation !== "string" || typeof nonce !== "string"
        || typeof expiresAtMs !== "number" || !Number.isSafeInteger(expiresAtMs)
    ) {
        return err(createFailure(Code.KeyMalformed));
    }
    const key = { ownerId, incarnation, expiresAtMs, nonce };
    return encodeKey(key) === text ? ok(key) : err(createFailure(Code.KeyMalformed));
}
