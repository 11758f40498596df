import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, test } from "node:test";
import { waitUntil } from "../../../standin/wait_until.ts";
import { defaultCallerLimits } from "../../config/default_caller_limits.ts";
import { ConnectionCloseCause } from "./connection_close_cause.ts";
import { HttpListener } from "./http_listener.ts";

const limitMs = 10_000;
const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

async function openListener(limits: Partial<typeof defaultCallerLimits>, maxConnections = 100) {
    const causes: ConnectionCloseCause[] = [];
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end("whole"), {
        getLimits: () => ({ ...defaultCallerLimits, ...limits }),
        maxConnections,
        handleClosed: cause => causes.push(cause),
    }))._unsafeUnwrap();
    closers.push(() => listener.close());
    return { listener, causes };
}

function openSocket(listener: HttpListener, bytes: string): { readonly socket: Socket; received: string; } {
    const socket = connect(listener.getPort(), "127.0.0.1");
    const caller = { socket, received: "" };
    closers.push(() => socket.destroy());
    socket.on("error", () => undefined).on("data", data => {
        caller.received += data.toString();
    });
    socket.write(bytes);
    return caller;
}

for (
    const { name, limits, bytes, cause } of [
        {
            name: "a head is not complete in time",
            limits: { headerTimeoutMs: 500 },
            bytes: "GET / HTTP/1.1\r\nHost",
            cause: ConnectionCloseCause.SlowHead,
        },
        {
            name: "a body does not progress",
            limits: { idleTimeoutMs: 500 },
            bytes: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
            cause: ConnectionCloseCause.SlowBody,
        },
    ]
) {
    test(`a connection is closed when ${name}, so that it does not hold a descriptor for long`, async () => {
        const { causes, listener } = await openListener(limits);
        const { socket } = openSocket(listener, bytes);
        await waitUntil("the connection is closed", limitMs, () => socket.destroyed);
        assert.deepEqual(causes, [cause]);
    });
}

test("a connection that is idle within the limit is not closed as a slow head, so that its client can use it again", async () => {
    const { causes, listener } = await openListener({ headerTimeoutMs: 250, idleTimeoutMs: 60_000 });
    const caller = openSocket(listener, request);
    const other = openSocket(listener, "GET");
    await waitUntil("a slow head was closed", limitMs, () => other.socket.destroyed);
    caller.socket.write(request);
    await waitUntil("both answers", limitMs, () => caller.received.split("whole").length === 3);
    assert.deepEqual(causes, [ConnectionCloseCause.SlowHead]);
});

test("a head above the limit of the configuration is refused", async () => {
    const { listener } = await openListener({ maxHeaderBytes: 1_024 });
    const caller = openSocket(listener, `GET / HTTP/1.1\r\nHost: a\r\nx: ${"x".repeat(2_048)}\r\n\r\n`);
    await waitUntil("a refusal", limitMs, () => caller.received.startsWith("HTTP/1.1 431"));
});

test("a connection beyond the limit displaces an unused one and is answered", async () => {
    const { causes, listener } = await openListener({}, 1);
    const unused = openSocket(listener, "");
    await waitUntil("the connection is open", limitMs, () => !unused.socket.connecting);
    const caller = openSocket(listener, request);
    await waitUntil("an answer", limitMs, () => caller.received.includes("whole"));
    assert.ok(unused.socket.destroyed || causes[0] === ConnectionCloseCause.Surplus);
});
