import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { after, test } from "node:test";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { HeaderUpstreamCodec } from "../../dispatch/header_upstream_codec.ts";
import type { UpstreamCodec } from "../../dispatch/upstream_codec.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import { ConfiguredUpstreams } from "../../queue/configured_upstreams.ts";
import { UndiciUpstreamClient } from "./undici_upstream_client.ts";

interface Upstream {
    readonly client: UndiciUpstreamClient;
    /** Requests that reached the upstream. */
    readonly received: string[];
    countConnections(): number;
    send(): Promise<{ kind: string; text: string | undefined; }>;
}

const closers: (() => Promise<void>)[] = [];

after(() => Promise.all(closers.map(close => close())));

/**
 * Starts an upstream that sends `responses` in order as raw bytes; `undefined` closes the connection without
 * one.
 */
async function startUpstream(
    responses: readonly (string | undefined)[],
    end = true,
    codec: UpstreamCodec = new HeaderUpstreamCodec(),
): Promise<Upstream> {
    const received: string[] = [];
    let connections = 0;
    const server: Server = createServer((socket: Socket) => {
        connections += 1;
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const response = responses[received.push(data.toString()) - 1];
            if (response !== undefined) {
                socket.write(response);
            }
            if (end || response === undefined) {
                socket.end();
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    const upstream = { id: "u1", service: "payments", address: `127.0.0.1:${port}`, slots: 1 };
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams([upstream]),
        codec,
    });
    closers.push(async () => {
        await client.close();
        server.close();
    });
    const send = async () => {
        const result = await client.send(buildOwnerRequest(), 5_000, new AbortController().signal);
        const body = result.answer?.body;
        return { kind: result.kind, text: body === undefined ? undefined : Buffer.from(body).toString() };
    };
    return { client, received, countConnections: () => connections, send };
}

const { Answered, Cut, AnswerTooLarge, Garbled } = UpstreamResultKind;
const ok = "HTTP/1.1 200 OK\r\n";

test("a truncated response is not accepted as complete, however its end is marked", async () => {
    const responses = [
        `${ok}content-length: 10\r\n\r\nhalf`,
        `${ok}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`,
        // Without length and chunks, the end of the connection does not prove that the response is complete.
        `${ok}\r\nhalf`,
        `${ok}content-le`,
        undefined,
    ];
    for (const response of responses) {
        const upstream = await startUpstream([response]);
        assert.deepEqual(await upstream.send(), { kind: Cut, text: undefined }, response);
        assert.equal(upstream.received.length, 1, "a request is written once");
    }
});

test("complete responses are accepted, including those that have no body by definition", async () => {
    for (
        const [response, text] of [
            [`${ok}content-length: 2\r\n\r\nok`, "ok"],
            [`${ok}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, "ok"],
            ["HTTP/1.1 204 No Content\r\n\r\n", ""],
        ] as const
    ) {
        const upstream = await startUpstream([response], false);
        assert.deepEqual(await upstream.send(), { kind: Answered, text });
    }
});

test("bytes after a response do not become the response to the next request", async () => {
    const forgedAnswer = `${ok}content-length: 6\r\n\r\nforged`;
    const expectedAnswer = `${ok}content-length: 3\r\n\r\nown`;
    const upstream = await startUpstream([
        `${ok}content-length: 2\r\n\r\nok${forgedAnswer}`,
        expectedAnswer,
        expectedAnswer,
    ], false);
    const texts = [await upstream.send(), await upstream.send()].map(({ text }) => text);
    assert.ok(texts.every(text => text !== "forged"), texts.join());
    assert.equal((await upstream.send()).text, "own");
});

test("an answer above the limit closes its connection, so that the rest is not read as the next response", async () => {
    const largeAnswer = `${ok}content-length: 1001\r\n\r\n${"x".repeat(1_001)}`;
    const upstream = await startUpstream([largeAnswer, `${ok}content-length: 3\r\n\r\nown`], false);
    assert.equal((await upstream.send()).kind, AnswerTooLarge);
    assert.equal((await upstream.send()).text, "own");
});

test("an answer to another request closes its connection, because the expected answer may still follow on it", async () => {
    const lateAnswer = `${ok}x-request-id: r0\r\ncontent-length: 4\r\n\r\nlate`;
    const expectedAnswer = `${ok}x-request-id: r1\r\ncontent-length: 3\r\n\r\nown`;
    const upstream = await startUpstream([lateAnswer, expectedAnswer], false, {
        encode: () => [],
        decode: (_, answer) => {
            const isExpected = answer.headers.some(({ name, value }) =>
                name === "x-request-id" && value === "r1"
            );
            return {
                kind: isExpected ? Answered : Garbled,
                answer: isExpected ? answer : undefined,
                detail: "",
            };
        },
    });
    assert.deepEqual(await upstream.send(), { kind: Garbled, text: undefined });
    assert.deepEqual(await upstream.send(), { kind: Answered, text: "own" });
    assert.equal(upstream.countConnections(), 2);
});

test("an answer with a status outside 100 to 599 is a server error, and its connection is not used again", async () => {
    const body = "content-length: 3\r\n\r\n";
    for (const status of ["000", "099", "600", "999"]) {
        const upstream = await startUpstream(
            [`HTTP/1.1 ${status} Odd\r\n${body}odd`, `${ok}${body}own`],
            false,
        );
        const { kind, text } = await upstream.send();
        assert.notEqual(kind, Answered, status);
        assert.equal(text, undefined, status);
        assert.deepEqual(await upstream.send(), { kind: Answered, text: "own" });
        assert.equal(upstream.countConnections(), 2);
    }
    const lastValid = await startUpstream([`HTTP/1.1 599 Last\r\n${body}own`], false);
    assert.deepEqual(await lastValid.send(), { kind: Answered, text: "own" });
});

test("an address that cannot be used is reported as not sent, and does not end the process", async () => {
    for (const address of ["127.0.0.1:99999", "127.0.0.1:", "a b:80"]) {
        const client = new UndiciUpstreamClient({
            upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address, slots: 1 }]),
            codec: new HeaderUpstreamCodec(),
        });
        const result = await client.send(buildOwnerRequest(), 5_000, new AbortController().signal);
        assert.equal(result.kind, UpstreamResultKind.NotSent, address);
        await client.close();
    }
});
