import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../../proof/operations/build_owner_request.ts";
import { FloodingServer } from "../../../standin/flooding_server.ts";
import { Code } from "../../core/code.ts";
import { RevokeState } from "../../forward/revoke_state.ts";
import { HttpListener } from "../http/http_listener.ts";
import { LinkForwarder } from "./link_forwarder.ts";
import { LinkListener } from "./link_listener.ts";

const upgradeResponse =
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: zinniaglade-link\r\n\r\n";
/** Bytes that the buffers of two sockets can hold on Linux. */
const maxWrittenBytes = 16_777_216;
/** Milliseconds: the connect timeout, and as much again for a busy machine. */
const maxCloseMs = 500;
const closers: (() => unknown)[] = [];

after(() => Promise.all(closers.map(close => close())));

for (
    const { name, prefix = "", unit, code = Code.PeerUnreachable } of [
        { name: "empty frames", prefix: upgradeResponse, unit: "\0", code: Code.PeerCut },
        { name: "bytes that are not frames", prefix: upgradeResponse, unit: "\x7f", code: Code.PeerCut },
        { name: "interim responses", unit: "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { name: "empty lines", unit: "\r\n" },
        { name: "a response that does not open a link", prefix: "HTTP/1.1 200 OK\r\n\r\n", unit: "x" },
    ]
) {
    test(`an owner that floods its link with ${name} is disconnected, so that it does not block the event loop`, async () => {
        const server = await FloodingServer.open({
            prefix,
            unit,
            writeBytes: 65_536,
            pauseMs: 1,
            maxMs: 2_000,
        });
        const forwarder = new LinkForwarder({
            memory: createTestMemoryGuard(),
            clock: new VirtualTime(),
            sendRevoke: () => Promise.resolve(RevokeState.NoReply),
        });
        closers.push(() => server.close(), () => forwarder.close());
        const reply = forwarder.forward(selectOwner(server.getPort()), new AbortController().signal);
        const end = await server.waitForEnd();
        assert.ok(end.closedByPeer, `${end.writtenBytes} bytes were written`);
        assert.ok(end.elapsedMs <= maxCloseMs, `closed after ${end.elapsedMs} ms`);
        assert.ok(end.writtenBytes <= maxWrittenBytes, `${end.writtenBytes} bytes were written`);
        assert.equal((await reply).code, code);
    });
}

for (
    const { name, unit } of [
        { name: "empty frames", unit: Buffer.from([0]) },
        { name: "frames of an unknown kind without an id", unit: Buffer.from([2, 0x78, 1]) },
        { name: "frames above the limit", unit: Buffer.from([0xff, 0xff, 0xff, 0xff, 0x0f]) },
        { name: "bytes that are not frames", unit: Buffer.from([0xff]) },
    ]
) {
    test(`an entry daemon that floods its link with ${name} is disconnected, so that it does not block the event loop`, async () => {
        const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
            ._unsafeUnwrap();
        const links = new LinkListener({
            memory: createTestMemoryGuard(),
            identity: { ownerId: "d1", incarnation: "i1" },
            owner: { apply: () => assert.fail("no attempt was sent") },
            registerRequest: () => undefined,
        });
        listener.setUpgradeHandler((...upgrade) => links.handleUpgrade(...upgrade));
        const socket = connect(listener.getPort(), "127.0.0.1");
        closers.push(() => socket.destroy(), () => links.close(), () => listener.close());
        socket.on("error", () => undefined);
        socket.write(
            "GET /v1/link HTTP/1.1\r\nHost: d1\r\nConnection: Upgrade\r\nUpgrade: zinniaglade-link\r\n\r\n",
        );
        await once(socket, "data");
        const closed = new Promise(resolve => socket.once("close", resolve));
        const startMs = performance.now();
        const timer = setInterval(() => socket.write(Buffer.alloc(65_535, unit)), 5);
        const isClosed = await Promise.race([
            closed.then(() => true),
            new Promise(resolve => setTimeout(() => resolve(false), 2_000)),
        ]);
        clearInterval(timer);
        const elapsedMs = performance.now() - startMs;
        assert.ok(isClosed, `still open after ${elapsedMs} ms`);
        assert.ok(elapsedMs <= maxCloseMs, `closed after ${elapsedMs} ms`);
    });
}

function selectOwner(port: number) {
    const location = { failureDomain: "z", region: "r", ownerAddress: `127.0.0.1:${port}`, leaving: false };
    const upstream = { id: "u1", service: "payments", ownerId: "d1", ...location };
    const routing = { host: "", path: "/payments", budgetMs: undefined, configVersion: 1 };
    return { ...buildOwnerRequest(), ...routing, upstream };
}
