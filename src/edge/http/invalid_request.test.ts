import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { waitUntil } from "../../../standin/wait_until.ts";
import { HttpListener } from "./http_listener.ts";

const limitMs = 5_000;
const payment = "POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/** Sends a text to a listener whose requests the test answers, and collects what comes back. */
async function openConnection(context: TestContext) {
    const responses: ServerResponse[] = [];
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => void responses.push(response)))
        ._unsafeUnwrap();
    const socket = connect(listener.getPort(), "127.0.0.1");
    context.after(async () => {
        socket.destroy();
        await listener.close();
    });
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (data: Buffer) => {
        text += data.toString();
    });
    return { closed: once(socket, "close"), readText: () => text, responses, socket };
}

// Node.js answers bytes that are no request at once, and a caller takes that for the answer to its earlier request.
test("bytes that are no request do not get an answer while an earlier request of the connection is unanswered", async context => {
    const { closed, readText, responses, socket } = await openConnection(context);
    socket.write(payment);
    await waitUntil("the payment is handled", limitMs, () => responses.length === 1);
    socket.write("no request\r\n\r\n");
    await closed;
    assert.equal(readText(), "");
});

test("bytes that are no request get status 400 when all earlier requests of the connection are answered", async context => {
    const { closed, readText, responses, socket } = await openConnection(context);
    socket.write(payment);
    await waitUntil("the payment is handled", limitMs, () => responses.length === 1);
    responses[0]!.end("paid");
    await waitUntil("the payment is answered", limitMs, () => readText().endsWith("paid"));
    socket.write("no request\r\n\r\n");
    await closed;
    assert.match(readText(), /^HTTP\/1\.1 200 OK[^]*paidHTTP\/1\.1 400 Bad Request\r\n/);
});

test("a body that is not valid gets status 400, because its request has not run", async context => {
    const { closed, readText, responses, socket } = await openConnection(context);
    socket.write("POST /pay HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    await waitUntil("the head is read", limitMs, () => responses.length === 1);
    socket.write("no size\r\n");
    await closed;
    assert.match(readText(), /^HTTP\/1\.1 400 Bad Request\r\n/);
});
