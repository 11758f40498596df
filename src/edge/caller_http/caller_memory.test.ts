import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { waitUntil } from "../../../standin/wait_until.ts";
import type { Answer } from "../../core/answer.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import { HeaderCallerCodec } from "../../receive/header_caller_codec.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createCallerApp } from "./create_caller_app.ts";

const maxBytes = 2_000_000;
const bodyBytes = 1_000_000;
const limitMs = 5_000;
const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
const chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const body = "x".repeat(bodyBytes);
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

async function openApp(answerBytes: number) {
    const time = new VirtualTime();
    const memory = createTestMemoryGuard(time);
    const answer: Answer = { status: 200, headers: [], body: Buffer.alloc(answerBytes) };
    const app = createCallerApp({
        codec: new HeaderCallerCodec(),
        handle: async () => answer,
        inFlightMiddleware: (_, next) => next(),
        getMaxRequestBytes: () => maxBytes,
        memory,
    }).callback();
    const listener =
        (await HttpListener.open("127.0.0.1:0", (incoming, response) => void app(incoming, response)))
            ._unsafeUnwrap();
    const socket = connect(listener.getPort(), "127.0.0.1");
    closers.push(() => socket.destroy(), () => listener.close());
    return { memory, socket, time };
}

function waitForBytes(memory: ReturnType<typeof createTestMemoryGuard>, check: (bytes: number) => boolean) {
    return waitUntil("charged bytes", limitMs, () => check(memory.getChargedBytes()));
}

for (
    const { name, bytes, end } of [
        { name: "an answer", bytes: head + body, end: undefined },
        {
            name: "an abort of its caller",
            bytes: head + body.slice(1),
            end: (socket: Socket) => socket.destroy(),
        },
        {
            name: "a chunked body over the limit",
            bytes: `${chunkedHead}${(maxBytes + 1).toString(16)}\r\n${body}${body}${body}`,
            end: undefined,
        },
    ]
) {
    test(`a body is charged until ${name}, so that the account does not shrink with each request`, async () => {
        const { memory, socket } = await openApp(10);
        socket.on("error", () => undefined).resume();
        socket.write(bytes.slice(0, bodyBytes / 2));
        await waitForBytes(memory, charged => charged >= bodyBytes / 2);
        socket.write(bytes.slice(bodyBytes / 2));
        end?.(socket);
        await waitForBytes(memory, charged => charged === 0);
    });
}

test("an answer is charged until its caller has it or has closed, so that slow readers are counted", async () => {
    const { memory, socket } = await openApp(20_000_000);
    socket.pause();
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitForBytes(memory, charged => charged === 20_000_000);
    socket.destroy();
    await once(socket, "close");
    await waitForBytes(memory, charged => charged === 0);
});

test("an answer that its caller does not read is closed while memory is short, also with a request behind it", async () => {
    const { memory, socket, time } = await openApp(20_000_000);
    const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.on("error", () => undefined).pause();
    socket.write(request + request);
    await waitForBytes(memory, charged => charged === 40_000_000);
    const taken = memory.addCharge(MemoryHolder.CallerAnswer, 1e12);
    for (let round = 0; round < 40 && memory.getChargedBytes() > 1e12; round += 1) {
        await time.run(250);
        // The buffers of the sockets take a part of the answer first.
        await wait(10);
    }
    assert.equal(memory.getChargedBytes(), 1e12);
    taken.close();
});

test("a body without room is refused as not executed with the time to return", async () => {
    const { memory, socket, time } = await openApp(10);
    const taken = memory.addCharge(MemoryHolder.CallerAnswer, 1e12);
    let received = "";
    socket.on("data", data => {
        received += data.toString();
    });
    socket.write(head);
    await waitUntil("the wait has begun", limitMs, () => memory.countWaiting() === 1);
    await time.run(1_000);
    await waitUntil("a refusal", limitMs, () => received.includes("1015"));
    assert.match(received, /^HTTP\/1.1 503/);
    assert.match(received, /not-executed/);
    taken.close();
});
