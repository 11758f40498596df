import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { waitUntil } from "../../../standin/wait_until.ts";
import { Code } from "../../core/code.ts";
import { Outcome } from "../../core/outcome.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import { RevokeState } from "../../forward/revoke_state.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import { HttpListener } from "../http/http_listener.ts";
import { encodeFrame } from "./encode_frame.ts";
import { LinkForwarder } from "./link_forwarder.ts";
import { LinkListener } from "./link_listener.ts";

const identity = { ownerId: "owner", incarnation: "1" };
const limitMs = 5_000;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

/** Opens an owner that answers each attempt with its own body, and a forwarder to it. */
async function openLink() {
    const entryTime = new VirtualTime();
    const entryMemory = createTestMemoryGuard(entryTime);
    const ownerMemory = createTestMemoryGuard();
    let runs = 0;
    let inFlight = 0;
    let status = 200;
    let handleRun = (): Promise<void> => Promise.resolve();
    const links = new LinkListener({
        identity,
        memory: ownerMemory,
        registerRequest: () => {
            inFlight += 1;
            return { close: () => inFlight -= 1 };
        },
        owner: {
            apply: async dispatch => {
                runs += 1;
                await handleRun();
                const answer = { status, headers: [], body: dispatch.body };
                return ok(buildOwnerReply(identity, dispatch, { code: Code.Ok, answer }));
            },
        },
    });
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    listener.setUpgradeHandler((...upgrade) => links.handleUpgrade(...upgrade));
    const forwarder = new LinkForwarder({
        memory: entryMemory,
        clock: new VirtualTime(),
        sendRevoke: () => Promise.resolve(RevokeState.NoReply),
    });
    closers.push(() => forwarder.close(), () => links.close(), () => listener.close());
    const send = (body: Uint8Array, signal = new AbortController().signal) => {
        const location = { failureDomain: "z", region: "r", leaving: false };
        const owner = { ownerId: "owner", ownerAddress: `127.0.0.1:${listener.getPort()}` };
        const upstream = { id: "u1", service: "payments", ...location, ...owner };
        const routing = { host: "", path: "/payments", budgetMs: undefined, configVersion: 1, upstream };
        return forwarder.forward({ ...buildOwnerRequest({ body }), ...routing }, signal);
    };
    const isReleased = () => entryMemory.getChargedBytes() + ownerMemory.getChargedBytes() === 0;
    return {
        entryMemory,
        entryTime,
        ownerMemory,
        port: listener.getPort(),
        send,
        isReleased,
        countRuns: () => runs,
        countInFlight: () => inFlight,
        setStatus: (value: number) => {
            status = value;
        },
        setRunHandler: (handle: () => Promise<void>) => {
            handleRun = handle;
        },
    };
}

/** Sends a body whose answer waits for memory at the entry daemon. */
async function waitWithAnswer(signal?: AbortSignal) {
    const link = await openLink();
    const filler = link.entryMemory.addCharge(MemoryHolder.CallerAnswer, 1e12);
    const body = Buffer.alloc(500_000, "b");
    const reply = link.send(body, signal);
    await waitUntil("the answer waits", limitMs, () => link.entryMemory.countWaiting() === 1);
    return { ...link, body, filler, reply };
}

test("a body and an answer in pieces arrive whole beside others, and their charges are released", async () => {
    const { isReleased, send } = await openLink();
    const bodies = [5_000_000, 65_536, 65_537, 300_000].map((length, index) =>
        Buffer.alloc(length, `${index}`)
    );
    const replies = await Promise.all(bodies.map(body => send(body)));
    for (const [index, reply] of replies.entries()) {
        assert.ok(
            bodies[index]!.equals(reply.answer?.body ?? Buffer.alloc(0)),
            `body ${index}, code ${reply.code}`,
        );
    }
    await waitUntil("the charges are released", limitMs, isReleased);
});

test("an owner without memory refuses a body at its head as not executed, and serves short ones", async () => {
    const { countRuns, ownerMemory, send } = await openLink();
    ownerMemory.addCharge(MemoryHolder.CallerAnswer, 1e12);
    const refused = await send(Buffer.alloc(5_000_000));
    assert.deepEqual([refused.code, refused.outcome, countRuns()], [
        Code.MemoryShort,
        Outcome.NotExecuted,
        0,
    ]);
    assert.equal((await send(Buffer.from("short"))).code, Code.Ok);
});

test("an answer for which the entry daemon has no memory is not reported as refused, because it ran", async () => {
    const { countRuns, entryTime, filler, isReleased, reply } = await waitWithAnswer();
    await entryTime.run(1_250);
    const { code, outcome } = await reply;
    assert.deepEqual([code, outcome, countRuns()], [Code.AnswerTooLarge, Outcome.Unknown, 1]);
    filler.close();
    await waitUntil("the charges are released", limitMs, isReleased);
});

test("an answer waits at its owner until the entry daemon has room, so that a request that ran is answered", async () => {
    const { body, countInFlight, entryTime, filler, isReleased, reply } = await waitWithAnswer();
    // A stop of the owner must not cut the answer.
    assert.equal(countInFlight(), 1);
    filler.close();
    await entryTime.run(1);
    const { answer, code } = await reply;
    assert.equal(code, Code.Ok);
    assert.ok(body.equals(answer?.body ?? Buffer.alloc(0)));
    await waitUntil("the charges are released", limitMs, isReleased);
    assert.equal(countInFlight(), 0);
});

test("an attempt that is cancelled while its answer waits leaves no charge at either daemon", async () => {
    const controller = new AbortController();
    const { countInFlight, filler, isReleased, reply } = await waitWithAnswer(controller.signal);
    controller.abort();
    await reply;
    filler.close();
    await waitUntil("the charges are released", limitMs, isReleased);
    await waitUntil("the owner has dropped the answer", limitMs, () => countInFlight() === 0);
});

test("an answer to an attempt that was cancelled while it ran is dropped, so that the owner does not keep it", async () => {
    const { countInFlight, countRuns, isReleased, send, setRunHandler } = await openLink();
    let release = (): void => undefined;
    setRunHandler(() => new Promise(resolve => release = resolve));
    const controller = new AbortController();
    const reply = send(Buffer.alloc(500_000), controller.signal);
    await waitUntil("the attempt runs", limitMs, () => countRuns() === 1);
    controller.abort();
    await reply;
    release();
    await waitUntil("the owner has dropped the answer", limitMs, () => countInFlight() === 0);
    await waitUntil("the charges are released", limitMs, isReleased);
});

test("a long answer whose head does not fit the reply is dropped at once, so that its owner does not keep it", async () => {
    const { countInFlight, isReleased, send, setStatus } = await openLink();
    setStatus(1.5);
    const reply = await send(Buffer.alloc(500_000));
    assert.equal(reply.code, Code.PeerProtocol);
    assert.equal(countInFlight(), 0);
    await waitUntil("the charges are released", limitMs, isReleased);
});

test("an entry daemon of a version without fetch frames gets the pieces of an answer at once", async () => {
    const { isReleased, port } = await openLink();
    const socket = connect(port, "127.0.0.1");
    closers.push(() => socket.destroy());
    socket.write(
        "GET /v1/link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: zinniaglade-link\r\n\r\n",
    );
    await once(socket, "data");
    const head = { requestId: "1", idempotencyKey: "1", upstreamId: "u1" };
    const value = { head, body: Buffer.alloc(100_000, "b") };
    socket.write(encodeFrame({ id: 1, content: { case: "dispatch", value } })._unsafeUnwrap());
    await waitUntil("the pieces", limitMs, () => socket.bytesRead > 100_000);
    await waitUntil("the charges are released", limitMs, isReleased);
});

test("an attempt that is cancelled while its body is sent leaves no charge and does not run", async () => {
    const { countRuns, isReleased, ownerMemory, send } = await openLink();
    const controller = new AbortController();
    const sent = send(Buffer.alloc(60_000_000), controller.signal);
    await waitUntil("the body is being received", limitMs, () => ownerMemory.getChargedBytes() > 0);
    controller.abort();
    await sent;
    await waitUntil("the charges are released", limitMs, isReleased);
    assert.equal(countRuns(), 0);
});
