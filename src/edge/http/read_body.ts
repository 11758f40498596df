import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import getRawBody from "raw-body";

/** Collects a body of at most `maxBytes` bytes; `too-large` when it is longer. Rejects when the stream breaks off. */
export async function readBody(
    stream: Readable,
    maxBytes: number,
    declaredLength: string | undefined,
): Promise<Result<Uint8Array, "too-large">> {
    try {
        return ok(await getRawBody(stream, { limit: maxBytes, length: declaredLength }));
    }
    catch (error) {
        if (error instanceof Error && "type" in error && error.type === "entity.too.large") {
            return err("too-large");
        }
        throw error;
    }
}
