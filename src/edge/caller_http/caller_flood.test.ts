import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { HeaderCallerCodec } from "../../receive/header_caller_codec.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createCallerApp } from "./create_caller_app.ts";

const maxRequestBytes = 1_000;
const get = "GET / HTTP/1.1\r\nHost: a\r\n";
const post = "POST / HTTP/1.1\r\nHost: a\r\n";
const chunked = `${post}Transfer-Encoding: chunked\r\n\r\n`;
/**
 * Milliseconds: the interval of checks, one second for which the connection is still read after an answer
 * that closes it, so that the caller receives that answer, and a margin.
 */
const maxCloseMs = 250 + 1_000 + 500;

const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

async function openApp(): Promise<HttpListener> {
    const app = createCallerApp({
        codec: new HeaderCallerCodec(),
        handle: async () => ({ status: 200, headers: [], body: Buffer.from("own") }),
        inFlightMiddleware: (_, next) => next(),
        getMaxRequestBytes: () => maxRequestBytes,
        memory: createTestMemoryGuard(),
    }).callback();
    const listener = (await HttpListener.open(
        "127.0.0.1:0",
        (incoming, response) => void app(incoming, response),
        { maxBodyBytes: maxRequestBytes },
    ))._unsafeUnwrap();
    closers.push(() => listener.close());
    return listener;
}

for (
    const { name, prefix = "", unit, status = "" } of [
        { name: "empty lines before a request", unit: "\r\n" },
        { name: "empty lines after an answer", prefix: `${get}\r\n`, unit: "\r\n", status: "200" },
        { name: "a request target", prefix: "GET /", unit: "x", status: "431" },
        { name: "spaces before a header value", prefix: `${get}x:`, unit: " " },
        { name: "a header value", prefix: `${get}x: `, unit: "x", status: "431" },
        { name: "header lines", prefix: get, unit: "a:b\r\n", status: "431" },
        { name: "a chunk extension", prefix: `${chunked}1;`, unit: "x", status: "413" },
        { name: "zeros before a chunk size", prefix: chunked, unit: "0" },
        { name: "chunks", prefix: chunked, unit: "1\r\nx\r\n", status: "413" },
        { name: "trailers", prefix: `${chunked}0\r\n`, unit: "a:b\r\n", status: "431" },
        {
            name: "a body above the limit",
            prefix: `${post}Content-Length: 1000000000\r\n\r\n`,
            unit: "x",
            status: "413",
        },
    ]
) {
    test(`a caller that floods its connection with ${name} is disconnected, so that other callers do not wait`, async () => {
        const listener = await openApp();
        const socket = connect(listener.getPort(), "127.0.0.1");
        closers.push(() => socket.destroy());
        let received = "";
        socket.on("error", () => undefined);
        socket.on("data", data => {
            received += data.toString();
        });
        const units = Buffer.from(unit.repeat(Math.floor(16_384 / unit.length)));
        const startMs = performance.now();
        socket.write(prefix);
        while (!socket.destroyed && performance.now() - startMs < 2 * maxCloseMs) {
            socket.write(units);
            await wait(2);
        }
        const elapsedMs = performance.now() - startMs;
        assert.ok(
            elapsedMs <= maxCloseMs,
            `open for ${elapsedMs} ms, ${socket.bytesWritten} bytes were written`,
        );
        // The kernel may drop an answer when it resets a connection on which the caller keeps sending.
        assert.ok(received === "" || received.startsWith(`HTTP/1.1 ${status}`), received);
    });
}

test("requests in one-byte chunks with empty lines between them are answered", async () => {
    const listener = await openApp();
    const socket = connect(listener.getPort(), "127.0.0.1");
    closers.push(() => socket.destroy());
    let answers = 0;
    socket.on("data", data => {
        answers += data.toString().split("HTTP/1.1 200").length - 1;
    });
    for (let index = 0; index < 3; index += 1) {
        socket.write(`\r\n${chunked}${"1\r\nx\r\n".repeat(maxRequestBytes)}0\r\n\r\n`);
        await wait(300);
    }
    assert.equal(answers, 3);
});
