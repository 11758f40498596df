import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { BodyBuffer } from "./body_buffer.ts";

/**
 * Reads a body of at most `maxBytes` bytes, from a stream that may be paused. Fails with `too-large` and pauses the stream when the body is
 * longer. Rejects when the stream ends early or the length of the body differs from the declared one.
 */
export function readBody(
    stream: Readable,
    maxBytes: number,
    declaredLength: string | undefined,
): Promise<Result<Uint8Array, "too-large">> {
    const declaredBytes = declaredLength === undefined ? undefined : Number.parseInt(declaredLength, 10);
    if (declaredBytes !== undefined && declaredBytes > maxBytes) {
        stream.pause();
        return Promise.resolve(err("too-large"));
    }
    return new Promise((resolve, reject) => {
        if (stream.destroyed) {
            // None of the events below would follow.
            reject(new Error("the body was truncated"));
            return;
        }
        const body = new BodyBuffer(maxBytes, declaredBytes);
        const handleClose = (): void => reject(new Error("the body was truncated"));
        const handleChunk = (chunk: Buffer): void => {
            if (body.getLength() + chunk.length > maxBytes) {
                stream.off("data", handleChunk).off("end", handleEnd).off("close", handleClose).pause();
                resolve(err("too-large"));
                return;
            }
            body.add(chunk);
        };
        const handleEnd = (): void => {
            if (declaredBytes !== undefined && declaredBytes !== body.getLength()) {
                reject(new Error("the body does not have the declared length"));
                return;
            }
            resolve(ok(body.getBytes()));
        };
        stream.on("data", handleChunk).once("end", handleEnd).once("error", reject).once(
            "close",
            handleClose,
        );
        stream.resume();
    });
}
