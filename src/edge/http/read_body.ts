import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { BodyBuffer } from "./body_buffer.ts";

interface Options {
    readonly maxBytes: number;
    readonly declaredLength?: string | undefined;
    /**
     * Called before the body grows to `length` bytes. Reading pauses until a promise resolves; false ends it. Bodies
     * are read without asking when absent.
     */
    readonly handleGrowth?: (length: number) => true | Promise<boolean>;
}

/**
 * Reads a body of at most `maxBytes` bytes, from a stream that may be paused. Fails with `too-large` and pauses the
 * stream when the body is longer, and with `no-memory` when `handleGrowth` refuses. Rejects when the stream ends early or
 * the length of the body differs from the declared one.
 */
export function readBody(
    stream: Readable,
    { declaredLength, maxBytes, handleGrowth = () => true }: Options,
): Promise<Result<Uint8Array, "too-large" | "no-memory">> {
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
        const stop = (cause: "too-large" | "no-memory"): void => {
            stream.off("data", handleChunk).off("end", handleEnd).off("close", handleClose).pause();
            resolve(err(cause));
        };
        const handleChunk = (chunk: Buffer): void => {
            const length = body.getLength() + chunk.length;
            if (length > maxBytes) {
                stop("too-large");
                return;
            }
            const granted = handleGrowth(length);
            if (granted === true) {
                body.add(chunk);
                return;
            }
            stream.pause();
            granted.then(hasRoom => {
                if (hasRoom) {
                    body.add(chunk);
                    stream.resume();
                }
                else {
                    stop("no-memory");
                }
            }, reject);
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
