import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpListener } from "./http_listener.ts";

test("a request on a connection opened before the stop is answered, so that a drain does not drop it", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end("whole")))
        ._unsafeUnwrap();
    const usedConnection = connect(listener.getPort(), "127.0.0.1");
    await sendRequest(usedConnection);
    const newConnection = connect(listener.getPort(), "127.0.0.1");
    await new Promise(resolve => newConnection.once("connect", resolve));
    await waitForEvents();
    listener.stop();
    await waitForEvents();
    assert.match(await sendRequest(newConnection), /whole/);
    assert.match(await sendRequest(usedConnection), /whole/);
    await listener.close();
});

test("after the stop a new connection is refused, so that its caller tries another instance", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    const port = listener.getPort();
    listener.stop();
    await waitForEvents();
    const error = await new Promise<NodeJS.ErrnoException>(resolve => {
        connect(port, "127.0.0.1").once("error", resolve);
    });
    assert.equal(error.code, "ECONNREFUSED");
    await listener.close();
});

test("an answer that closes its connection reaches a slow caller that keeps sending", async () => {
    // More than the kernel buffers for a caller that does not read.
    const answerBytes = 1_000_000;
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => {
        response.setHeader("connection", "close");
        response.end(Buffer.alloc(answerBytes));
    }))._unsafeUnwrap();
    const socket = connect(listener.getPort(), "127.0.0.1");
    let received = 0;
    socket.on("data", chunk => {
        received += chunk.length;
    });
    socket.pause();
    socket.write("GET /1 HTTP/1.1\r\nHost: test\r\n\r\n");
    await waitForEvents();
    socket.write("GET /2 HTTP/1.1\r\nHost: test\r\n\r\n");
    await waitForEvents();
    socket.resume();
    await new Promise(resolve => socket.once("close", resolve));
    assert.ok(received > answerBytes, `${received} bytes were received`);
    await listener.close();
});

for (const closes of [true, false]) {
    test(`an answer sent before the end of an upload reaches its caller, connection ${closes ? "closed" : "kept"}`, async () => {
        // More than the read limiter allows between an answer and the next head, sent during two
        // of its checks.
        const bodyBytes = 2_000_000;
        const parts = 50;
        const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => {
            if (closes) {
                response.setHeader("connection", "close");
            }
            response.end("early");
        }, { maxBodyBytes: bodyBytes }))._unsafeUnwrap();
        const socket = connect(listener.getPort(), "127.0.0.1");
        let received = "";
        const errors: string[] = [];
        socket.on("error", error => errors.push(error.message));
        // This caller reads only after it has written its request, and a reset drops what it has not read.
        socket.on("data", data => {
            received += data.toString();
        });
        socket.pause();
        socket.write(`POST / HTTP/1.1\r\nHost: test\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
        for (let index = 0; index < parts && !socket.destroyed; index += 1) {
            socket.write(Buffer.alloc(bodyBytes / parts));
            await new Promise(resolve => setTimeout(resolve, 12));
        }
        socket.resume();
        await waitForEvents();
        assert.deepEqual(errors, []);
        assert.match(received, /early/);
        socket.destroy();
        await listener.close();
    });
}

for (const isComplete of [true, false]) {
    test(`endless input after an early answer closes the connection, request ${isComplete ? "complete" : "incomplete"}`, async () => {
        const maxBodyBytes = 100_000;
        const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end("early"), {
            maxBodyBytes,
        }))._unsafeUnwrap();
        const socket = connect(listener.getPort(), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.resume();
        const head = "POST / HTTP/1.1\r\nHost: test\r\n";
        if (isComplete) {
            socket.write(`${head}Content-Length: ${maxBodyBytes}\r\n\r\n`);
            await waitForEvents();
            socket.write(Buffer.alloc(maxBodyBytes));
            await waitForEvents();
        }
        else {
            // The parser does not count the leading zeros of a chunk size.
            socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
            await waitForEvents();
        }
        // A complete request allows only the bytes up to the next head, an incomplete one also its body.
        const allowedBytes = 131_072 + (isComplete ? 0 : 6 * maxBodyBytes);
        const units = Buffer.from(isComplete ? "\r\n".repeat(5_000) : "0".repeat(10_000));
        const startMs = performance.now();
        let writtenBytes = 0;
        while (!socket.destroyed && writtenBytes < allowedBytes + units.length) {
            socket.write(units);
            writtenBytes += units.length;
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        while (!socket.destroyed && performance.now() - startMs < 5_000) {
            await waitForEvents();
        }
        assert.ok(socket.destroyed, `open after ${writtenBytes} bytes`);
        await listener.close();
    });
}

test("opening a port in use returns a failure with its address instead of throwing", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", () => undefined))._unsafeUnwrap();
    const second = await HttpListener.open(`127.0.0.1:${listener.getPort()}`, () => undefined);
    assert.match(second._unsafeUnwrapErr().detail, /EADDRINUSE/);
    await listener.close();
});

function sendRequest(socket: ReturnType<typeof connect>): Promise<string> {
    return new Promise((resolve, reject) => {
        socket.once("data", chunk => resolve(chunk.toString()));
        socket.once("close", () => reject(new Error("the connection was closed without an answer")));
        socket.write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    });
}

async function waitForEvents(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, 50));
}
