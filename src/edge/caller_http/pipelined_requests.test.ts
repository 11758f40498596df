import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import type { Answer } from "../../core/answer.ts";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import { HeaderCallerCodec } from "../../receive/header_caller_codec.ts";
import type { IncomingRequest } from "../../receive/incoming_request.ts";
import { createInFlightMiddleware } from "../http/create_in_flight_middleware.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createCallerApp } from "./create_caller_app.ts";

const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

/** Opens a daemon's interface for callers whose requests are answered when the test calls `sendAnswer`. */
async function openCallerInterface() {
    const handledRequests = new Map<string, { incoming: IncomingRequest; sendAnswer: () => void; }>();
    const state = { draining: false, refusing: false, inFlight: 0 };
    const drainTimeoutCallbacks: (() => void)[] = [];
    const codec = new HeaderCallerCodec();
    const handle = createCallerApp({
        codec,
        getMaxRequestBytes: () => 1_000,
        memory: createTestMemoryGuard(),
        inFlightMiddleware: createInFlightMiddleware({
            createRefusal: () => codec.encodeProblem(createFailure(Code.OwnerLeaving), ""),
            createDrainTimeoutAnswer: () => codec.encodeProblem(createFailure(Code.DrainTimeout), ""),
            refuse: () => state.refusing,
            isDraining: () => state.draining,
            registerRequest: sendDrainTimeoutAnswer => {
                state.inFlight += 1;
                drainTimeoutCallbacks.push(sendDrainTimeoutAnswer);
                return { close: () => void (state.inFlight -= 1) };
            },
        }),
        handle: incoming =>
            new Promise<Answer>(resolve => {
                const body = Buffer.from(`answer to ${incoming.target}`);
                const sendAnswer = () => resolve({ status: 200, headers: [], body });
                handledRequests.set(incoming.target, { incoming, sendAnswer });
            }),
    }).callback();
    const listener = (await HttpListener.open("127.0.0.1:0", (request, response) => {
        void handle(request, response);
    }, { isDraining: () => state.draining }))._unsafeUnwrap();
    closers.push(() => listener.close());
    const sendAnswer = (target: string) => handledRequests.get(target)?.sendAnswer();
    const sendDrainTimeoutAnswers = () => drainTimeoutCallbacks.forEach(callback => callback());
    return {
        state,
        handledRequests,
        port: listener.getPort(),
        sendAnswer,
        sendDrainTimeoutAnswers,
    };
}

async function openCaller(port: number) {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString();
    });
    socket.on("error", error => {
        received += error.message;
    });
    await once(socket, "connect");
    const listAnswers = () =>
        [...received.matchAll(/answer to (\S+)$|answer to (\S+?)(?=HTTP)/gm)]
            .map(([, last, other]) => last ?? other);
    const getReceived = () => received;
    return {
        socket,
        getReceived,
        listAnswers,
        countCloses: () => received.match(/connection: close/gi)?.length ?? 0,
    };
}

function send(socket: Socket, ...targets: string[]): void {
    socket.write(targets.map(target => `GET ${target} HTTP/1.1\r\nHost: test\r\n\r\n`).join(""));
}

async function waitFor(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < 200 && !condition(); turn += 1) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.ok(condition(), `condition not met within 1 s: ${condition.toString()}`);
}

test("a drain answers all pipelined requests that were sent to upstreams before it closes the connection", async () => {
    const { sendAnswer, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/1", "/2", "/3");
    await waitFor(() => handledRequests.size === 3);
    state.draining = true;
    sendAnswer("/1");
    await waitFor(() => caller.listAnswers().length === 1);
    sendAnswer("/3");
    sendAnswer("/2");
    await waitFor(() => caller.socket.closed);
    assert.deepEqual(caller.listAnswers(), ["/1", "/2", "/3"]);
    assert.equal(caller.countCloses(), 1, "only the last answer closes the connection");
    assert.equal(state.inFlight, 0);
});

test("a request behind an answer that closes the connection is not sent to an upstream, because its caller sends it again", async () => {
    const { sendAnswer, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/1", "/2");
    await waitFor(() => handledRequests.size === 2);
    state.draining = true;
    sendAnswer("/2");
    await waitFor(() => handledRequests.size === 2);
    await new Promise(resolve => setImmediate(resolve));
    send(caller.socket, "/3");
    await new Promise(resolve => setTimeout(resolve, 50));
    sendAnswer("/1");
    await waitFor(() => caller.socket.closed);
    assert.deepEqual([...handledRequests.keys()], ["/1", "/2"]);
    assert.deepEqual(caller.listAnswers(), ["/1", "/2"]);
    assert.equal(state.inFlight, 0);
});

test("during a drain, a request behind an unanswered one is not handled, so that its answer is not lost with the process", async () => {
    const { handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/long");
    await waitFor(() => handledRequests.size === 1);
    state.draining = true;
    send(caller.socket, "/behind");
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.deepEqual(
        [...handledRequests.keys()],
        ["/long"],
        "its answer could not be sent before the other one",
    );
    caller.socket.destroy();
    await waitFor(() => state.inFlight === 0);
});

test("the connection closes after the last request before a dropped one, even if that one was answered early", async () => {
    const { sendAnswer, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/1", "/2");
    await waitFor(() => handledRequests.size === 2);
    sendAnswer("/2");
    await new Promise(resolve => setTimeout(resolve, 20));
    state.draining = true;
    send(caller.socket, "/3");
    await new Promise(resolve => setTimeout(resolve, 20));
    sendAnswer("/1");
    await waitFor(() => caller.socket.closed);
    assert.deepEqual(caller.listAnswers(), ["/1", "/2"]);
    assert.deepEqual([...handledRequests.keys()], ["/1", "/2"]);
});

test("an answer that waits for an earlier request is sent at the drain timeout, so that it is not lost with the process", async () => {
    const { sendAnswer, sendDrainTimeoutAnswers, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/long", "/ready");
    await waitFor(() => handledRequests.size === 2);
    state.draining = true;
    sendAnswer("/ready");
    await new Promise(resolve => setTimeout(resolve, 20));
    sendDrainTimeoutAnswers();
    await waitFor(() => state.inFlight === 0 && caller.listAnswers().length === 1);
    assert.deepEqual(caller.listAnswers(), ["/ready"]);
    assert.deepEqual([...handledRequests.values()].map(({ incoming }) => incoming.signal.aborted), [
        true,
        false,
    ]);
    assert.match(caller.getReceived(), /^HTTP\/1\.1 504 /);
    caller.socket.destroy();
});

test("the answer of a request that is aborted at the drain timeout does not mix with the answer for the timeout", async () => {
    const { sendAnswer, sendDrainTimeoutAnswers, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/long");
    await waitFor(() => handledRequests.size === 1);
    handledRequests.get("/long")!.incoming.signal.addEventListener("abort", () => sendAnswer("/long"));
    state.draining = true;
    sendDrainTimeoutAnswers();
    await once(caller.socket, "close");
    assert.match(caller.getReceived(), /^HTTP\/1\.1 504 /);
    assert.doesNotMatch(caller.getReceived(), /answer to/);
});

test("a request whose body ends after the answer for the drain timeout is not sent to an upstream", async () => {
    const { sendDrainTimeoutAnswers, handledRequests, port, state } = await openCallerInterface();
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    socket.write("POST /late HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\n1234");
    await waitFor(() => state.inFlight === 1);
    state.draining = true;
    sendDrainTimeoutAnswers();
    const [chunk] = await once(socket, "data") as [Buffer];
    assert.match(chunk.toString(), /^HTTP\/1\.1 504 /);
    socket.write("56789");
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.deepEqual([...handledRequests.keys()], []);
    socket.destroy();
});

test("a refusal behind a request that is being handled does not drop that request's answer", async () => {
    const { sendAnswer, handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/1");
    await waitFor(() => handledRequests.size === 1);
    state.refusing = true;
    send(caller.socket, "/2", "/3");
    await new Promise(resolve => setTimeout(resolve, 50));
    sendAnswer("/1");
    await waitFor(() => caller.socket.closed);
    assert.deepEqual(caller.listAnswers(), ["/1"]);
    assert.equal(caller.countCloses(), 1);
    assert.equal(state.inFlight, 0);
});

test("all pipelined requests of a caller that disconnects are aborted, so that upstreams stop working on them", async () => {
    const { handledRequests, port, state } = await openCallerInterface();
    const caller = await openCaller(port);
    send(caller.socket, "/1", "/2", "/3");
    await waitFor(() => handledRequests.size === 3);
    caller.socket.destroy();
    await waitFor(() => [...handledRequests.values()].every(({ incoming }) => incoming.signal.aborted));
    await waitFor(() => state.inFlight === 0);
});
