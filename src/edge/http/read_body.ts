import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { BodyBuffer } from "./body_buffer.ts";

/**
 * Collects a body of at most `maxBytes` bytes; `too-large` when it is longer, and the stream is paused then. Rejects when
 * the stream breaks off or its length is not the declared one.
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
        const body = new BodyBuffer(maxBytes);
        const reportClose = (): void => reject(new Error("the body was cut"));
        const reportPart = (part: Buffer): void => {
            if (body.getLength() + part.length > maxBytes) {
                stream.off("data", reportPart).off("end", reportEnd).off("close", reportClose).pause();
                resolve(err("too-large"));
                return;
            }
            body.add(part);
        };
        const reportEnd = (): void => {
            if (declaredBytes !== undefined && declaredBytes !== body.getLength()) {
                reject(new Error("the body does not have the declared length"));
                return;
            }
            resolve(ok(body.getBytes()));
        };
        stream.on("data", reportPart).once("end", reportEnd).once("error", reject).once("close", reportClose);
    });
}
