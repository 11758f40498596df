import assert from "node:assert/strict";
import { after, test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { FloodingServer } from "../../../standin/flooding_server.ts";
import { Outcome } from "../../core/outcome.ts";
import { HeaderUpstreamCodec } from "../../dispatch/header_upstream_codec.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import { ConfiguredUpstreams } from "../../queue/configured_upstreams.ts";
import { decideAttemptResult } from "../../settle/decide_attempt_result.ts";
import { UndiciUpstreamClient } from "./undici_upstream_client.ts";

const { Answered, AnswerTooLarge, Cut, TimedOut } = UpstreamResultKind;
const ok = "HTTP/1.1 200 OK\r\n";
const chunked = `${ok}transfer-encoding: chunked\r\n\r\n`;
const completeAnswer = `${ok}content-length: 3\r\n\r\nown`;

/** Bytes: the limit of an answer without its body, and what can be parsed between two checks. */
const maxHeadBytes = 32_768 + 131_072;
/** Bytes of the largest body, 1,000 here, with five bytes of framing for each. */
const maxBodyBytes = 6 * 1_000;
/** Bytes in the buffers of the sockets when the connection is closed: eight writes of 16 KB. */
const maxInFlightBytes = 131_072;
const maxWrittenBytes = maxHeadBytes + maxBodyBytes + maxInFlightBytes;
/** Milliseconds; a fifth of the time limit of the requests. */
const maxCloseMs = 500;
const timeLimitMs = 2_500;

const closers: (() => Promise<void>)[] = [];

after(() => Promise.all(closers.map(close => close())));

interface Options extends Partial<Parameters<typeof FloodingServer.open>[0]> {
    readonly unit: string;
}

async function openUpstream(options: Options) {
    const server = await FloodingServer.open(options);
    const address = `127.0.0.1:${server.getPort()}`;
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address, slots: 1 }]),
        codec: new HeaderUpstreamCodec(),
    });
    closers.push(() => server.close(), () => client.close());
    const send = (timeoutMs = timeLimitMs) =>
        client.send(buildOwnerRequest(), timeoutMs, new AbortController().signal);
    return { client, server, send };
}

const floods = [
    { name: "interim responses", unit: "HTTP/1.1 103 Early Hints\r\n\r\n", kind: Cut },
    { name: "empty lines before the status line", unit: "\r\n", kind: Cut },
    { name: "a status line", prefix: "HTTP/1.1 200 ", unit: "x", kind: Cut },
    { name: "a header name", prefix: ok, unit: "x", kind: Cut },
    { name: "a header value", prefix: `${ok}x: `, unit: "x", kind: Cut },
    { name: "spaces before a header value", prefix: `${ok}x:`, unit: " ", kind: Cut },
    { name: "header lines", prefix: ok, unit: "a: b\r\n", kind: Cut },
    { name: "a chunk extension", prefix: `${chunked}1;`, unit: "x", kind: Cut },
    { name: "chunk extensions", prefix: chunked, unit: `1;${"x".repeat(1_000)}\r\nx\r\n`, kind: Cut },
    { name: "zeros before a chunk size", prefix: chunked, unit: "0", kind: Cut },
    { name: "trailers", prefix: `${chunked}0\r\n`, unit: "a: b\r\n", kind: Cut },
    { name: "chunks", prefix: chunked, unit: "1\r\nx\r\n", kind: AnswerTooLarge },
    { name: "a body without length", prefix: `${ok}\r\n`, unit: "x", kind: Cut },
    {
        name: "a body above the limit",
        prefix: `${ok}content-length: 1000000000\r\n\r\n`,
        unit: "x",
        kind: AnswerTooLarge,
    },
];

for (const { kind, name, ...options } of floods) {
    test(`an upstream that floods its connection with ${name} is cut off at the size limit, and the request may have been executed`, async () => {
        const { send, server } = await openUpstream({ ...options, pauseMs: 1 });
        const request = buildOwnerRequest();
        const [result, end] = await Promise.all([send(), server.waitForEnd()]);
        assert.equal(result.kind, kind, result.detail);
        assert.notEqual(decideAttemptResult(request.route, result).outcome, Outcome.NotExecuted);
        assert.ok(end.closedByPeer);
        assert.ok(end.writtenBytes <= maxWrittenBytes, `${end.writtenBytes} bytes were written`);
        assert.ok(end.elapsedMs <= maxCloseMs, `closed after ${end.elapsedMs} ms`);
        assert.equal(server.countConnections(), 1, "a request is written once");
    });
}

for (const { kind, name, prefix = "", unit } of floods) {
    test(`an upstream that sends ${name} slowly is cut off at the time limit, and the request may have been executed`, async () => {
        const { send, server } = await openUpstream({ prefix, unit, writeBytes: 1, pauseMs: 4 });
        const request = buildOwnerRequest();
        const [result, end] = await Promise.all([send(200), server.waitForEnd()]);
        assert.ok(result.kind === TimedOut || result.kind === kind, result.kind);
        assert.notEqual(decideAttemptResult(request.route, result).outcome, Outcome.NotExecuted);
        assert.ok(end.closedByPeer);
        assert.ok(end.elapsedMs <= 200 + maxCloseMs, `closed after ${end.elapsedMs} ms`);
        assert.equal(server.countConnections(), 1, "a request is written once");
    });
}

for (const { name, prefix, unit } of floods.filter(flood => flood.unit === "a: b\r\n")) {
    test(`endless ${name} do not reach the header limit of the parser, whose errors block the event loop`, async () => {
        const { send } = await openUpstream({ prefix: prefix ?? "", unit, writeBytes: 65_536 });
        const result = await send();
        assert.equal(result.kind, Cut);
        assert.doesNotMatch(result.detail, /overflow/i);
    });
}

test("an answer within the limits is read completely, however it is framed", async () => {
    const chunks = `${"1\r\nx\r\n".repeat(1_000)}0\r\n`;
    const buildFields = (name: string) => `${name}: ${"x".repeat(1_000)}\r\n`.repeat(15);
    for (
        const prefix of [
            `${chunked}${chunks}\r\n`,
            `${ok}${buildFields("a")}transfer-encoding: chunked\r\n\r\n${chunks}${buildFields("b")}\r\n`,
            `${"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(8)}\r\n${chunked}${chunks}\r\n`,
        ]
    ) {
        const { send } = await openUpstream({ prefix, unit: " ", maxBytes: 0, delayMs: 500 });
        const result = await send();
        assert.equal(result.kind, Answered, result.detail);
        assert.equal(result.answer?.body.length, 1_000);
    }
});

test("large answers at the same time do not exhaust the memory of the daemon", async () => {
    const limitBytes = 67_108_864;
    const unit = `1000\r\n${"x".repeat(0x1000)}\r\n`;
    const options = { prefix: chunked, unit, writeBytes: 65_536, maxBytes: 2 * limitBytes };
    const servers = await Promise.all([1, 2, 3].map(() => FloodingServer.open(options)));
    const upstreams = servers.map((server, index) => {
        return { id: `u${index}`, service: "payments", address: `127.0.0.1:${server.getPort()}`, slots: 1 };
    });
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams(upstreams),
        codec: new HeaderUpstreamCodec(),
    });
    closers.push(() => client.close(), ...servers.map(server => () => server.close()));
    const [route] = buildOwnerRequest().service.routes;
    const results = await Promise.all(upstreams.map(({ id: upstreamId }) => {
        const request = buildOwnerRequest({ upstreamId, route: { ...route!, maxAnswerBytes: limitBytes } });
        return client.send(request, 10_000, new AbortController().signal);
    }));
    assert.ok(results.every(result => result.kind === Cut || result.kind === AnswerTooLarge));
    const ends = await Promise.all(servers.map(server => server.waitForEnd()));
    const writtenBytes = ends.reduce((sum, end) => sum + end.writtenBytes, 0);
    // The first aborted answer makes room for the others, at most one of which reaches its own limit; the
    // buffers of each pair of sockets can hold 16 MB.
    assert.ok(writtenBytes <= 2 * limitBytes + 3 * 16_777_216, `${writtenBytes} bytes were written`);
});

// Answers without end took a daemon to 540 MB where the platform ends a process at 350 MB.
test("answers without end are cut at the memory for answers, also when the route allows more", async () => {
    const answerMemoryBytes = 4 * 1_048_576;
    const limitBytes = 67_108_864;
    const unit = `1000\r\n${"x".repeat(0x1000)}\r\n`;
    const prefixes = [chunked, `${ok}content-length: ${limitBytes}\r\n\r\n`, `${ok}\r\n`];
    const servers = await Promise.all(
        prefixes.map(prefix =>
            FloodingServer.open({ prefix, unit, writeBytes: 65_536, maxBytes: limitBytes })
        ),
    );
    const upstreams = servers.map((server, index) => {
        return { id: `u${index}`, service: "payments", address: `127.0.0.1:${server.getPort()}`, slots: 1 };
    });
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams(upstreams),
        codec: new HeaderUpstreamCodec(),
        answerMemoryBytes,
    });
    closers.push(() => client.close(), ...servers.map(server => () => server.close()));
    const [route] = buildOwnerRequest().service.routes;
    const results = await Promise.all(upstreams.map(({ id: upstreamId }) => {
        const request = buildOwnerRequest({ upstreamId, route: { ...route!, maxAnswerBytes: limitBytes } });
        return client.send(request, 10_000, new AbortController().signal);
    }));
    assert.ok(results.every(result => result.kind === Cut || result.kind === AnswerTooLarge));
    const ends = await Promise.all(servers.map(server => server.waitForEnd()));
    const writtenBytes = ends.reduce((sum, end) => sum + end.writtenBytes, 0);
    // As above: two times the limit, and the buffers of three pairs of sockets.
    assert.ok(writtenBytes <= 2 * answerMemoryBytes + 3 * 16_777_216, `${writtenBytes} bytes were written`);
});

test("a stalled answer that holds most of the memory is aborted, so that those of other upstreams are not", async () => {
    const limitBytes = 67_108_864;
    const stallMs = 15_000;
    const stalled = await FloodingServer.open({
        prefix: `${ok}content-length: ${limitBytes}\r\n\r\n${"x".repeat(limitBytes - 10_000)}`,
        unit: "x",
        delayMs: stallMs,
    });
    const laterAnswer = `${ok}content-length: 400000\r\n\r\n${"x".repeat(400_000)}`;
    const healthy = await FloodingServer.open({ unit: "x", floodedConnections: 0, laterAnswer });
    const upstreams = [stalled, healthy].map((server, index) => {
        return { id: `u${index}`, service: "payments", address: `127.0.0.1:${server.getPort()}`, slots: 1 };
    });
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams(upstreams),
        codec: new HeaderUpstreamCodec(),
    });
    closers.push(() => client.close(), () => stalled.close(), () => healthy.close());
    const [route] = buildOwnerRequest().service.routes;
    const send = (upstreamId: string) => {
        const request = buildOwnerRequest({ upstreamId, route: { ...route!, maxAnswerBytes: limitBytes } });
        return client.send(request, stallMs, new AbortController().signal);
    };
    let isStalled = true;
    const ending = send("u0").finally(() => {
        isStalled = false;
    });
    // Other answers are requested until one of them exceeds the limit together with the stalled one, which
    // lacks 10 KB.
    while (isStalled) {
        const result = await send("u1");
        assert.equal(result.kind, Answered, result.detail);
        await wait(50);
    }
    const result = await ending;
    assert.equal(result.kind, Cut, result.detail);
    assert.match(result.detail, /too much memory/);
    assert.notEqual(decideAttemptResult(route!, result).outcome, Outcome.NotExecuted);
    assert.equal((await send("u1")).kind, Answered);
});

test("a large answer at full speed is read completely", async () => {
    const length = 32 * 1_048_576;
    const { client, server } = await openUpstream({
        prefix: `${ok}content-length: ${length}\r\n\r\n`,
        unit: "x",
        maxBytes: length,
    });
    const [route] = buildOwnerRequest().service.routes;
    const request = buildOwnerRequest({ route: { ...route!, maxAnswerBytes: length } });
    const result = await client.send(request, 20_000, new AbortController().signal);
    assert.equal(result.kind, Answered, result.detail);
    assert.equal(server.countConnections(), 1);
});

for (const unit of ["\r\n", "x", completeAnswer]) {
    for (
        const { name, ...options } of [{ name: "at full speed" }, {
            name: "byte by byte",
            writeBytes: 1,
            pauseMs: 20,
        }]
    ) {
        test(`${JSON.stringify(unit)} sent ${name} after a complete answer closes the idle connection`, async () => {
            const { send, server } = await openUpstream({
                prefix: `${ok}content-length: 2\r\n\r\nok`,
                unit,
                delayMs: 50,
                pauseMs: 1,
                laterAnswer: completeAnswer,
                ...options,
            });
            assert.equal((await send()).kind, Answered);
            const end = await server.waitForEnd();
            assert.ok(end.closedByPeer);
            assert.ok(end.writtenBytes <= maxInFlightBytes, `${end.writtenBytes} bytes were written`);
            assert.ok(end.elapsedMs <= maxCloseMs, `closed after ${end.elapsedMs} ms`);
            const next = await send();
            assert.equal(Buffer.from(next.answer?.body ?? []).toString(), "own");
            assert.equal(server.countConnections(), 2);
        });
    }
}
