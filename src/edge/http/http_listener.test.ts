import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpListener } from "./http_listener.ts";

test("a request on a connection that was open before the stop is answered, so that a drain does not cut it", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end("whole")))
        ._unsafeUnwrap();
    const used = connect(listener.getPort(), "127.0.0.1");
    await readAnswer(used);
    const fresh = connect(listener.getPort(), "127.0.0.1");
    await new Promise(resolve => fresh.once("connect", resolve));
    await waitForLoop();
    listener.stop();
    await waitForLoop();
    assert.match(await readAnswer(fresh), /whole/);
    assert.match(await readAnswer(used), /whole/);
    await listener.close();
});

test("after the stop a new connection is refused, so that its caller goes elsewhere", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    const port = listener.getPort();
    listener.stop();
    await waitForLoop();
    const error = await new Promise<NodeJS.ErrnoException>(resolve => {
        connect(port, "127.0.0.1").once("error", resolve);
    });
    assert.equal(error.code, "ECONNREFUSED");
    await listener.close();
});

test("an answer that closes its connection reaches a slow caller that goes on sending", async () => {
    // More than the kernel passes on to a caller that does not read.
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
    await waitForLoop();
    socket.write("GET /2 HTTP/1.1\r\nHost: test\r\n\r\n");
    await waitForLoop();
    socket.resume();
    await new Promise(resolve => socket.once("close", resolve));
    assert.ok(received > answerBytes, `${received} bytes were received`);
    await listener.close();
});

test("a port that is in use is a failure with its address and not an exception", async () => {
    const listener = (await HttpListener.open("127.0.0.1:0", () => undefined))._unsafeUnwrap();
    const second = await HttpListener.open(`127.0.0.1:${listener.getPort()}`, () => undefined);
    assert.match(second._unsafeUnwrapErr().detail, /EADDRINUSE/);
    await listener.close();
});

function readAnswer(socket: ReturnType<typeof connect>): Promise<string> {
    return new Promise((resolve, reject) => {
        socket.once("data", chunk => resolve(chunk.toString()));
        socket.once("close", () => reject(new Error("the connection was closed without an answer")));
        socket.write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    });
}

async function waitForLoop(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, 50));
}
