import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, test } from "node:test";
import { setImmediate as waitForTurn } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { waitUntil } from "../../../standin/wait_until.ts";
import { HeaderCallerCodec } from "../../receive/header_caller_codec.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createCallerApp } from "./create_caller_app.ts";

const limitMs = 5_000;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

for (const answerBytes of [60_000, 1_000_000]) {
    test(`an answer of ${answerBytes} bytes that was sent is not retained by its idle connection, so that idle callers hold no memory`, async () => {
        const bodies: WeakRef<Uint8Array>[] = [];
        const app = createCallerApp({
            codec: new HeaderCallerCodec(),
            handle: async () => {
                const body = Buffer.alloc(answerBytes, "a");
                bodies.push(new WeakRef(body));
                return { status: 200, headers: [], body };
            },
            inFlightMiddleware: (_, next) => next(),
            getMaxRequestBytes: () => 1_000,
            memory: createTestMemoryGuard(),
        }).callback();
        const opened = await HttpListener.open("127.0.0.1:0", (...exchange) => void app(...exchange));
        const listener = opened._unsafeUnwrap();
        const socket = connect(listener.getPort(), "127.0.0.1");
        closers.push(() => socket.destroy(), () => listener.close());
        let receivedBytes = 0;
        socket.on("data", data => {
            receivedBytes += data.length;
        });
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        await waitUntil("the answer", limitMs, () => receivedBytes > answerBytes);
        setFlagsFromString("--expose-gc");
        const collect = runInNewContext("gc") as () => void;
        for (let turn = 0; turn < 5; turn += 1) {
            await waitForTurn();
            collect();
        }
        assert.equal(socket.destroyed, false);
        assert.deepEqual(bodies.map(body => body.deref()?.length), [undefined]);
    });
}
