import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import type { Answer } from "../../core/answer.ts";
import { HeaderCallerCodec } from "../../receive/header_caller_codec.ts";
import type { IncomingRequest } from "../../receive/incoming_request.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createCallerApp } from "./create_caller_app.ts";

const MAX_REQUEST_BYTES = 10;

async function openApp(handle: (incoming: IncomingRequest) => Promise<Answer>): Promise<HttpListener> {
    const app = createCallerApp({
        codec: new HeaderCallerCodec(),
        handle,
        inFlightMiddleware: (_, next) => next(),
        getMaxRequestBytes: () => MAX_REQUEST_BYTES,
        memory: createTestMemoryGuard(),
    })
        .callback();
    const listener = await HttpListener.open(
        "127.0.0.1:0",
        (incoming, response) => void app(incoming, response),
    );
    return listener._unsafeUnwrap();
}

test("an answer keeps its status, headers and bytes and gets no content type that the upstream did not send", async () => {
    const listener = await openApp(async incoming => ({
        status: 201,
        headers: [{ name: "x-target", value: incoming.target }],
        body: Buffer.concat([Buffer.from([0, 255]), incoming.body]),
    }));
    const response = await fetch(`http://127.0.0.1:${listener.getPort()}/a?b=1`, {
        method: "POST",
        body: "body",
    });
    assert.equal(response.status, 201);
    assert.equal(response.headers.get("x-target"), "/a?b=1");
    assert.equal(response.headers.has("content-type"), false);
    assert.deepEqual(
        Buffer.from(await response.arrayBuffer()),
        Buffer.from([0, 255, ...Buffer.from("body")]),
    );
    await listener.close();
});

test("a body above the limit is refused as not executed and never reaches the pipeline", async () => {
    let handled = false;
    const listener = await openApp(async () => {
        handled = true;
        return { status: 200, headers: [], body: new Uint8Array() };
    });
    const url = `http://127.0.0.1:${listener.getPort()}/`;
    const response = await fetch(url, { method: "POST", body: "x".repeat(MAX_REQUEST_BYTES + 1) });
    assert.equal(response.status, 413);
    assert.equal(response.headers.get("zinniaglade-outcome"), "not-executed");
    assert.equal(handled, false);
    await listener.close();
});

test("the signal is aborted when the caller disconnects, so that its request can be removed from the queue", async () => {
    let recordStart: (incoming: IncomingRequest) => void = () => undefined;
    const started = new Promise<IncomingRequest>(resolve => {
        recordStart = resolve;
    });
    const listener = await openApp(incoming => {
        recordStart(incoming);
        return new Promise(() => undefined);
    });
    const outgoing = request({ port: listener.getPort(), host: "127.0.0.1" });
    outgoing.on("error", () => undefined);
    outgoing.end();
    const { signal } = await started;
    const aborted = new Promise(resolve => signal.addEventListener("abort", resolve));
    outgoing.destroy();
    await aborted;
    await listener.close();
});
