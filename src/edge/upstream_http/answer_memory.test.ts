import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { waitUntil } from "../../../standin/wait_until.ts";
import { HeaderUpstreamCodec } from "../../dispatch/header_upstream_codec.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import { ConfiguredUpstreams } from "../../queue/configured_upstreams.ts";
import { UndiciUpstreamClient } from "./undici_upstream_client.ts";

const answerBytes = 200_000;
const { route } = buildOwnerRequest();
const limitMs = 5_000;
const { Answered, AnswerTooLarge, Cut, TimedOut } = UpstreamResultKind;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

/** Opens an upstream that answers by `answer`, and a client whose account of memory is full until `makeRoom`. */
async function openUpstream(answer: (response: ServerResponse) => void) {
    const server: Server = createServer((_, response) => answer(response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const time = new VirtualTime();
    const memory = createTestMemoryGuard(time);
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address, slots: 1 }]),
        codec: new HeaderUpstreamCodec(),
        memory,
    });
    closers.push(() => client.close(), () => server.close(), () => server.closeAllConnections());
    const taken = memory.addCharge(MemoryHolder.CallerAnswer, 1e12);
    const send = async (timeoutMs = limitMs, handleBody: (body: Uint8Array) => void = () => undefined) => {
        const result = await client.send(
            buildOwnerRequest({ route: { ...route, maxAnswerBytes: 67_108_864 } }),
            timeoutMs,
            new AbortController().signal,
        );
        if (result.answer !== undefined) {
            handleBody(result.answer.body);
        }
        return { kind: result.kind, bodyBytes: result.answer?.body.length };
    };
    return {
        memory,
        time,
        send,
        makeRoom: () => {
            taken.close();
            return time.run(1);
        },
        waitForWaiter: () => waitUntil("a wait for memory", limitMs, () => memory.countWaiting() === 1),
    };
}

function sendWhole(response: ServerResponse): void {
    response.writeHead(200, { "content-length": answerBytes }).end(Buffer.alloc(answerBytes));
}

function sendChunked(response: ServerResponse): void {
    response.writeHead(200).end(Buffer.alloc(answerBytes));
}

/** Rejects when a send does not end, in place of a hang of the whole test. */
function waitForEnd<Value>(sent: Promise<Value>): Promise<Value> {
    return Promise.race([
        sent,
        new Promise<never>((_, reject) => {
            setTimeout(() => reject(new Error("the send has not ended")), limitMs).unref();
        }),
    ]);
}

test("an answer that waits for memory is read whole when there is room, so that its slot does not hang", async () => {
    let sentBytes = 0;
    const { makeRoom, memory, send, waitForWaiter } = await openUpstream(response => {
        sendWhole(response);
        sentBytes = response.socket?.bytesWritten ?? 0;
    });
    const sent = send();
    await waitForWaiter();
    await waitUntil("the upstream has sent its answer", limitMs, () => sentBytes > 0);
    // The client has received what fits into its buffers.
    await new Promise(resolve => setTimeout(resolve, 100));
    await makeRoom();
    assert.deepEqual(await waitForEnd(sent), { kind: Answered, bodyBytes: answerBytes });
    assert.equal(memory.getChargedBytes(), 0);
});

test("an answer without a declared length waits for room as it grows, so that many do not exceed the account", async () => {
    const { makeRoom, memory, send, waitForWaiter } = await openUpstream(sendChunked);
    const sent = send();
    await waitForWaiter();
    await makeRoom();
    assert.deepEqual(await waitForEnd(sent), { kind: Answered, bodyBytes: answerBytes });
    assert.equal(memory.getChargedBytes(), 0);
});

for (
    const { name, answer } of [{ name: "declares its length", answer: sendWhole }, {
        name: "does not declare its length",
        answer: sendChunked,
    }]
) {
    test(`an answer that ${name} and finds no room ends as not delivered, and the next one is read`, async () => {
        const { makeRoom, memory, send, time, waitForWaiter } = await openUpstream(answer);
        const sent = send();
        await waitForWaiter();
        await time.run(1_000);
        assert.equal((await waitForEnd(sent)).kind, AnswerTooLarge);
        await makeRoom();
        assert.equal((await waitForEnd(send())).kind, Answered);
        assert.equal(memory.getChargedBytes(), 0);
    });
}

test("an upstream that breaks off while its answer waits for memory ends the send when there is room", async () => {
    const { makeRoom, memory, send, waitForWaiter } = await openUpstream(response => {
        response.writeHead(200, { "content-length": answerBytes }).write("part");
        setTimeout(() => response.destroy(), 50);
    });
    const sent = send();
    await waitForWaiter();
    await new Promise(resolve => setTimeout(resolve, 200));
    await makeRoom();
    assert.equal((await waitForEnd(sent)).kind, Cut);
    assert.equal(memory.getChargedBytes(), 0);
});

test("a time limit that passes while an answer waits for memory is reported as such and leaves nobody waiting", async () => {
    const { memory, send } = await openUpstream(sendWhole);
    assert.equal((await waitForEnd(send(300))).kind, TimedOut);
    assert.equal(memory.countWaiting(), 0);
});

test("an answer that was delivered is not retained by the idle connection to its upstream, so that slots hold no memory", async () => {
    const { makeRoom, send } = await openUpstream(sendWhole);
    await makeRoom();
    const buffers: WeakRef<ArrayBufferLike>[] = [];
    await send(limitMs, body => buffers.push(new WeakRef(body.buffer)));
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    for (let turn = 0; turn < 5; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
        collect();
    }
    assert.deepEqual(buffers.map(buffer => buffer.deref()?.byteLength), [undefined]);
});
