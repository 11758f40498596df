import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { after, test } from "node:test";
import { waitUntil } from "../../../standin/wait_until.ts";
import { ConnectionCloseCause } from "./connection_close_cause.ts";
import { HttpListener } from "./http_listener.ts";

const limitMs = 5_000;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

/** Opens a listener whose requests are answered by the test. */
async function openListener(maxConnections = 100) {
    const handled: { url: string; response: ServerResponse; }[] = [];
    const causes: ConnectionCloseCause[] = [];
    const opened = await HttpListener.open("127.0.0.1:0", (request, response) => {
        handled.push({ url: request.url ?? "", response });
    }, { maxConnections, handleClosed: cause => causes.push(cause) });
    const listener = opened._unsafeUnwrap();
    closers.push(() => listener.close());
    const openCaller = () => {
        const socket = connect(listener.getPort(), "127.0.0.1");
        closers.push(() => socket.destroy());
        socket.on("error", () => undefined);
        let received = "";
        socket.on("data", data => {
            received += data.toString();
        });
        return {
            socket,
            countAnswers: () => received.split("HTTP/1.1 200").length - 1,
            send: (name: string, count: number) =>
                socket.write(
                    Array.from({ length: count }, (_, index) =>
                        `GET /${name}${index} HTTP/1.1\r\nHost: a\r\n\r\n`)
                        .join(""),
                ),
        };
    };
    return { causes, handled, openCaller };
}

test("a caller that sends requests without end ahead of their answers is disconnected, and most are not handled", async () => {
    const { causes, handled, openCaller } = await openListener();
    const caller = openCaller();
    caller.send("a", 500);
    await waitUntil("the end of the connection", limitMs, () => caller.socket.destroyed);
    assert.ok(handled.length <= 8, `${handled.length} requests were handled`);
    assert.deepEqual(causes, [ConnectionCloseCause.Pipelined]);
});

test("pipelined requests beyond those handled at the same time are handled in order when earlier ones are answered", async () => {
    const { handled, openCaller } = await openListener();
    const caller = openCaller();
    caller.send("a", 30);
    for (let answered = 0; answered < 30; answered += 1) {
        await waitUntil("a handled request", limitMs, () => handled.length > answered);
        assert.ok(handled.length <= answered + 8, `${handled.length} are handled, ${answered} are answered`);
        handled[answered]!.response.end();
    }
    await waitUntil("all answers", limitMs, () => caller.countAnswers() === 30);
    assert.deepEqual(handled.map(({ url }) => url), Array.from({ length: 30 }, (_, index) => `/a${index}`));
});

test("a request is handled before the pipelined ones of another connection end, so that their caller does not keep it out", async () => {
    const { handled, openCaller } = await openListener();
    const flood = openCaller();
    flood.send("a", 30);
    await waitUntil("the first pipelined requests", limitMs, () => handled.length === 8);
    const ordinary = openCaller();
    ordinary.send("b", 1);
    await waitUntil("the ordinary request", limitMs, () => handled.some(({ url }) => url === "/b0"));
    assert.equal(handled.length, 9);
});

test("all callers together send a limited number of requests ahead, and a first request is always handled", async () => {
    const { causes, handled, openCaller } = await openListener(4);
    const [first, second, third] = [openCaller(), openCaller(), openCaller()];
    first.send("a", 4);
    await waitUntil("the requests of the first connection", limitMs, () => handled.length === 4);
    second.send("b", 1);
    await waitUntil("the request of the second connection", limitMs, () => handled.length === 5);
    third.send("c", 2);
    await waitUntil("the end of the connection", limitMs, () => third.socket.destroyed);
    assert.deepEqual(causes, [ConnectionCloseCause.Pipelined]);
    assert.equal(handled.filter(({ url }) => url.startsWith("/a") || url.startsWith("/b")).length, 5);
});
