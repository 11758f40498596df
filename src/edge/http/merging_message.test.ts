import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { after, test } from "node:test";
import { waitUntil } from "../../../standin/wait_until.ts";
import { ConnectionCloseCause } from "./connection_close_cause.ts";
import { HttpListener } from "./http_listener.ts";

const limitMs = 5_000;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

/** Opens a listener that passes each request to `handle`, and a caller that has sent the head of a chunked request. */
async function openCaller(handle: (request: IncomingMessage) => void) {
    const causes: ConnectionCloseCause[] = [];
    const opened = await HttpListener.open("127.0.0.1:0", handle, {
        handleClosed: cause => causes.push(cause),
    });
    const listener = opened._unsafeUnwrap();
    closers.push(() => listener.close());
    const socket = connect(listener.getPort(), "127.0.0.1");
    closers.push(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    return { causes, socket };
}

/** Splits the body into chunks whose sizes repeat those of `sizes`. */
function formatChunks(body: string, sizes: readonly number[]): string {
    let text = "";
    for (let offset = 0, index = 0; offset < body.length; index += 1) {
        const chunk = body.slice(offset, offset + sizes[index % sizes.length]!);
        text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
        offset += chunk.length;
    }
    return `${text}0\r\n\r\n`;
}

for (const sizes of [[1], [16], [1, 1_023, 1_024, 5_000], [1_023], [700, 3, 60_000]]) {
    test(`a body in chunks of ${sizes.join(", ")} bytes is read complete and in order, also after a pause`, async () => {
        const body = Array.from(
            { length: 16_000 },
            (_, index) => String.fromCharCode(97 + index * index % 26),
        )
            .join("");
        let received: string | undefined;
        const { socket } = await openCaller(request => {
            request.pause();
            setTimeout(() => {
                const parts: Buffer[] = [];
                request.on("data", (part: Buffer) => parts.push(part));
                request.once("end", () => {
                    received = Buffer.concat(parts).toString();
                });
                request.resume();
            }, 50);
        });
        socket.write(formatChunks(body, sizes));
        await waitUntil("the end of the body", limitMs, () => received !== undefined);
        assert.equal(received, body);
    });
}

test("chunks of a byte are merged while nobody reads them, so that their buffers do not fill the memory", async () => {
    let message: IncomingMessage | undefined;
    const { socket } = await openCaller(request => {
        message = request.pause();
    });
    socket.write(formatChunks("a".repeat(15_000), [1]));
    // Nothing is read behind the first parts of the body until somebody reads them.
    await waitUntil("the first part of the body", limitMs, () => (message?.readableLength ?? 0) > 5_000);
    let parts = 0;
    message!.on("data", () => {
        parts += 1;
    });
    message!.resume();
    await waitUntil("the end of the body", limitMs, () => message!.readableEnded);
    assert.ok(parts <= 100, `${parts} parts`);
});

test("a body in more chunks than its bytes need is closed, so that a crowd does not occupy the processor", async () => {
    const { causes, socket } = await openCaller(request => request.resume());
    socket.write(formatChunks("a".repeat(40_000), [1]));
    await waitUntil("the end of the connection", limitMs, () => socket.destroyed);
    assert.deepEqual(causes, [ConnectionCloseCause.SmallParts]);
});
