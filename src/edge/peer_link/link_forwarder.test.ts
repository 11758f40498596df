import { create } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { after, test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { Code } from "../../core/code.ts";
import { Outcome } from "../../core/outcome.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import { RevokeState } from "../../forward/revoke_state.ts";
import { LinkFrameSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";
import { HttpListener } from "../http/http_listener.ts";
import { encodeReply } from "./encode_reply.ts";
import { LinkForwarder } from "./link_forwarder.ts";
import { LinkListener } from "./link_listener.ts";

const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

const request = buildOwnerRequest();
const answer = { status: 200, headers: [], body: Buffer.from("receipt") };
const identity = { ownerId: "d1", incarnation: "i1" };
const reply = buildOwnerReply(identity, request, { code: Code.Ok, answer });
const replyFrame = sizeDelimitedEncode(
    LinkFrameSchema,
    create(LinkFrameSchema, {
        id: 1,
        content: { case: "reply", value: { head: encodeReply(reply), body: answer.body } },
    }),
);
const upgradeResponse =
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: zinniaglade-link\r\n\r\n";

function createDeferred() {
    let resolvePromise: (() => void) | undefined;
    const promise = new Promise<void>(resolve => {
        resolvePromise = resolve;
    });
    return { promise, resolve: () => resolvePromise?.() };
}

function createForwarder() {
    const forwarder = new LinkForwarder({
        memory: createTestMemoryGuard(),
        clock: new VirtualTime(),
        sendRevoke: () => Promise.resolve(RevokeState.NoReply),
    });
    closers.push(() => forwarder.close());
    return forwarder;
}

function selectOwner(port: number, attempt = 1) {
    const location = { failureDomain: "z", region: "r", ownerAddress: `127.0.0.1:${port}`, leaving: false };
    const upstream = { id: "u1", service: "payments", ownerId: "d1", ...location };
    const routing = { host: "", path: "/payments", budgetMs: undefined, configVersion: 1 };
    return { ...request, ...routing, attempt, upstream };
}

/** Opens an owner that answers the first frame of a link with raw bytes and closes the connection. */
async function openRawOwner(response: Uint8Array) {
    let frames = 0;
    const server = createServer((socket: Socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(upgradeResponse);
            socket.on("data", () => {
                frames += 1;
                socket.end(response);
            });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => server.close());
    const { port } = server.address() as { port: number; };
    return { port, countFrames: () => frames };
}

/** Opens an owner whose pipeline is `handle`. */
async function openOwner(handle: (dispatch: IncomingDispatch) => Promise<OwnerReply>) {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    let inFlightCount = 0;
    let closed = false;
    const links = new LinkListener({
        memory: createTestMemoryGuard(),
        identity,
        owner: { apply: async dispatch => ok(await handle(dispatch)) },
        registerRequest: () => {
            if (closed) {
                return undefined;
            }
            inFlightCount += 1;
            return { close: () => void (inFlightCount -= 1) };
        },
    });
    listener.setUpgradeHandler((...upgrade) => links.handleUpgrade(...upgrade));
    closers.push(() => links.close(), () => listener.close());
    const setClosed = () => {
        closed = true;
    };
    return { port: listener.getPort(), countInFlight: () => inFlightCount, setClosed };
}

test("an incomplete reply leaves the outcome unknown, and the attempt is not sent again", async () => {
    const garbled = Buffer.from("this is no frame, whatever its first byte says about its length");
    for (
        const response of [replyFrame.subarray(0, -1), replyFrame.subarray(0, 2), garbled, new Uint8Array()]
    ) {
        const owner = await openRawOwner(response);
        const { answer: received, code, outcome } = await createForwarder()
            .forward(selectOwner(owner.port), new AbortController().signal);
        assert.deepEqual([code, outcome, received, owner.countFrames()], [
            Code.PeerCut,
            Outcome.Unknown,
            undefined,
            1,
        ]);
    }
});

test("a complete reply is returned with its body", async () => {
    const owner = await openRawOwner(replyFrame);
    const received = await createForwarder().forward(selectOwner(owner.port), new AbortController().signal);
    assert.equal(Buffer.from(received.answer!.body).toString(), "receipt");
});

test("an attempt to an owner that refuses the connection is reported as not executed", async () => {
    const { code, outcome } = await createForwarder().forward(selectOwner(1), new AbortController().signal);
    assert.deepEqual([code, outcome], [Code.PeerUnreachable, Outcome.NotExecuted]);
});

test("replies on one link are matched to their attempts in any order, so that no caller gets another caller's answer", async () => {
    const waiting: (() => void)[] = [];
    const owner = await openOwner(dispatch =>
        new Promise(resolve => {
            const body = Buffer.from(`answer ${dispatch.attempt}`);
            const fields = { code: Code.Ok, answer: { status: 200, headers: [], body } };
            waiting.push(() => resolve(buildOwnerReply(identity, dispatch, fields)));
            if (waiting.length === 3) {
                waiting.reverse().forEach(send => send());
            }
        })
    );
    const forwarder = createForwarder();
    const { signal } = new AbortController();
    const replies = await Promise.all(
        [1, 2, 3].map(attempt => forwarder.forward(selectOwner(owner.port, attempt), signal)),
    );
    assert.deepEqual(replies.map(received => Buffer.from(received.answer!.body).toString()), [
        "answer 1",
        "answer 2",
        "answer 3",
    ]);
    assert.equal(owner.countInFlight(), 0);
});

test("an attempt that arrives while its owner closes is not executed and does not truncate a reply that is being sent", async () => {
    // More than the kernel buffers.
    const body = Buffer.alloc(8_000_000);
    const forwarder = createForwarder();
    const { signal } = new AbortController();
    let second: Promise<OwnerReply> | undefined;
    const owner = await openOwner(async dispatch => {
        owner.setClosed();
        second = forwarder.forward(selectOwner(owner.port, 2), signal);
        await new Promise(resolve => setImmediate(resolve));
        return buildOwnerReply(identity, dispatch, {
            code: Code.Ok,
            answer: { status: 200, headers: [], body },
        });
    });
    const first = await forwarder.forward(selectOwner(owner.port), signal);
    assert.deepEqual([first.code, first.answer?.body.length], [Code.Ok, body.length]);
    const lateReply = await second;
    assert.deepEqual([lateReply?.code, lateReply?.outcome], [Code.OwnerLeaving, Outcome.NotExecuted]);
});

test("cancelling an attempt aborts the signal at its owner, so that the upstream stops working on it", async () => {
    const caller = new AbortController();
    const aborted = createDeferred();
    const owner = await openOwner(dispatch => {
        dispatch.signal.addEventListener("abort", () => aborted.resolve());
        caller.abort();
        return new Promise(() => undefined);
    });
    const { code } = await createForwarder().forward(selectOwner(owner.port), caller.signal);
    assert.equal(code, Code.PeerTimeout);
    await aborted.promise;
});

test("closing a link aborts the attempts that run on it, because nobody waits for their replies", async () => {
    const aborted = createDeferred();
    const forwarder = createForwarder();
    const owner = await openOwner(dispatch => {
        dispatch.signal.addEventListener("abort", () => aborted.resolve());
        forwarder.close();
        return new Promise(() => undefined);
    });
    const { code, outcome } = await forwarder.forward(selectOwner(owner.port), new AbortController().signal);
    assert.deepEqual([code, outcome], [Code.PeerCut, Outcome.Unknown]);
    await aborted.promise;
});

test("an attempt that its owner does not confirm in time is reported, may still be answered, and the next one uses a new connection", async () => {
    let connections = 0;
    const server = createServer((socket: Socket) => {
        connections += 1;
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(upgradeResponse);
            socket.once("data", () => setTimeout(() => socket.write(replyFrame), 400));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => server.close());
    const { port } = server.address() as { port: number; };
    const forwarder = createForwarder();
    const { signal } = new AbortController();
    let unconfirmed = 0;
    const first = forwarder.forward(selectOwner(port), signal, () => {
        unconfirmed += 1;
    });
    await new Promise(resolve => setTimeout(resolve, 300));
    assert.equal(unconfirmed, 1);
    const second = forwarder.forward(selectOwner(port), signal);
    assert.deepEqual([(await first).code, (await second).code, connections], [Code.Ok, Code.Ok, 2]);
});

// Review case 1: the encoder threw for a target of 2009.9999999999998 ms, and requests of the route were not served.
test("an attempt whose route has times with fractions is sent", async () => {
    const owner = await openOwner(dispatch =>
        Promise.resolve(buildOwnerReply(identity, dispatch, { code: Code.Ok, answer }))
    );
    const selected = selectOwner(owner.port);
    const route = { ...selected.route, targetMs: 2.01 * 1_000, priority: 2 ** 32 };
    const { code } = await createForwarder().forward({ ...selected, route }, new AbortController().signal);
    assert.equal(code, Code.Ok);
});

// An error of the encoder left the request in flight, and those whose frames waited behind it unsent.
test("an attempt that cannot be encoded ends as not executed, and the others of its link are sent", async () => {
    const owner = await openOwner(dispatch =>
        Promise.resolve(buildOwnerReply(identity, dispatch, { code: Code.Ok, answer }))
    );
    const forwarder = createForwarder();
    const { signal } = new AbortController();
    const baselineMs = 1e39;
    const sendAll = () =>
        Promise.all([
            forwarder.forward({ ...selectOwner(owner.port, 1), baselineMs }, signal),
            forwarder.forward(selectOwner(owner.port, 2), signal),
        ]);
    // The link opens during the first round and is open in the second.
    for (const replies of [await sendAll(), await sendAll()]) {
        assert.deepEqual(replies.map(({ code, outcome }) => [code, outcome]), [
            [Code.AttemptNotEncodable, Outcome.NotExecuted],
            [Code.Ok, Outcome.Executed],
        ]);
    }
});

test("a reply that cannot be encoded keeps its outcome, so that an executed payment is not sent again", async () => {
    const owner = await openOwner(dispatch =>
        Promise.resolve(buildOwnerReply(identity, dispatch, { code: Code.Ok, answer, serviceMs: 1e39 }))
    );
    const { code, outcome } = await createForwarder()
        .forward(selectOwner(owner.port), new AbortController().signal);
    assert.deepEqual([code, outcome, owner.countInFlight()], [Code.PeerProtocol, Outcome.Executed, 0]);
});

test("an attempt whose owner pipeline ends with an error leaves nothing in flight, so that a drain can end", async () => {
    const owner = await openOwner(() => Promise.reject(new Error("out of order")));
    const { code, outcome } = await createForwarder()
        .forward(selectOwner(owner.port), new AbortController().signal);
    assert.deepEqual([code, outcome, owner.countInFlight()], [Code.PeerProtocol, Outcome.Unknown, 0]);
});
