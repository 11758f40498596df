import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { Code } from "../../core/code.ts";
import { Outcome } from "../../core/outcome.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import { RevokeState } from "../../forward/revoke_state.ts";
import { encodeReply } from "./encode_reply.ts";
import { UndiciForwarder } from "./undici_forwarder.ts";

const closers: (() => Promise<void>)[] = [];

after(() => Promise.all(closers.map(close => close())));

const request = buildOwnerRequest();
const answer = { status: 200, headers: [], body: Buffer.from("receipt") };
const reply = buildOwnerReply({ ownerId: "d1", incarnation: "i1" }, request, { code: Code.Ok, answer });
const head = `HTTP/1.1 200 OK\r\nzinniaglade-reply: ${encodeReply(reply)}\r\n`;

/** Forwards one attempt to an owner that writes `response` as raw bytes and closes the connection. */
async function run(response: string) {
    let received = 0;
    const server = createServer((socket: Socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            received += 1;
            socket.end(response);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    const { code, outcome, answer: got } = await forward(port);
    server.close();
    return { code, outcome, received, text: got && Buffer.from(got.body).toString() };
}

function forward(port: number) {
    const forwarder = new UndiciForwarder({
        clock: new VirtualTime(),
        sendRevoke: () => Promise.resolve(RevokeState.NoReply),
    });
    closers.push(() => forwarder.close());
    const place = { failureDomain: "z", region: "r", ownerAddress: `127.0.0.1:${port}`, leaving: false };
    const upstream = { id: "u1", service: "payments", ownerId: "d1", ...place };
    const selected = {
        ...request,
        host: "",
        path: "/payments",
        budgetMs: undefined,
        configVersion: 1,
        upstream,
    };
    return forwarder.forward(selected, new AbortController().signal);
}

test("a reply that is not whole is unknown, and the attempt is not sent again", async () => {
    for (
        const response of [
            `${head}content-length: 7\r\n\r\nrec`,
            `${head}transfer-encoding: chunked\r\n\r\n7\r\nreceipt\r\n`,
            `${head}\r\nrec`,
            `${head}content-length: 1001\r\n\r\n${"x".repeat(1_001)}`,
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nreceipt",
            "",
        ]
    ) {
        const { code, ...rest } = await run(response);
        assert.ok(code === Code.PeerCut || code === Code.PeerProtocol, `${code} for ${response}`);
        assert.deepEqual(rest, { outcome: Outcome.Unknown, received: 1, text: undefined }, response);
    }
});

test("a whole reply is passed on, and a refused connection is not-executed", async () => {
    const whole = await run(`${head}content-length: 7\r\n\r\nreceipt`);
    assert.deepEqual(whole, { code: Code.Ok, outcome: Outcome.Executed, received: 1, text: "receipt" });
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    await new Promise(resolve => server.close(resolve));
    const refused = await forward(port);
    assert.deepEqual([refused.code, refused.outcome], [Code.PeerUnreachable, Outcome.NotExecuted]);
});
