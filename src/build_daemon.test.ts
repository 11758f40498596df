import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { buildDaemon } from "./build_daemon.ts";
import { LogLevel } from "./core/log_level.ts";
import { HttpListener } from "./edge/http/http_listener.ts";
import { linkProtocol } from "./edge/peer_link/link_protocol.ts";
import type { ServeSettings } from "./settings/serve_settings.ts";

const settings: ServeSettings = {
    daemonId: "daemon-1",
    failureDomain: "domain",
    region: "region",
    callerAddress: "127.0.0.1:0",
    peerAddress: "127.0.0.1:0",
    adminAddress: "127.0.0.1:0",
    platformUrl: "http://127.0.0.1:1",
    upstreams: [],
    peers: [],
    metricsAddress: undefined,
    metricsListenAddress: undefined,
    logLevel: LogLevel.Error,
    maxRequestBytes: 1_000,
    answerMemoryBytes: 65_536,
    memoryBytes: 536_870_912,
    maxCallerConnections: 100,
    gossipIntervalMs: 60_000,
    watchMs: 1_000,
    startWaitMs: 0,
    drainGraceMs: 0,
    drainQuietMs: 0,
    drainTimeoutMs: 1_000,
};

async function findFreePort(): Promise<number> {
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    const port = listener.getPort();
    await listener.close();
    return port;
}

/** Opens a link. Unless `allowHalfOpen` is true, this end closes as soon as the daemon has closed its end. */
async function openLink(port: number, allowHalfOpen: boolean): Promise<Socket> {
    const socket = connect({ host: "127.0.0.1", port, allowHalfOpen });
    socket.write(
        `GET /v1/link HTTP/1.1\r\nHost: test\r\nConnection: Upgrade\r\nUpgrade: ${linkProtocol}\r\n\r\n`,
    );
    await once(socket, "data");
    socket.resume();
    return socket;
}

test("a daemon whose metrics port is in use still serves, so that a port conflict cannot stop the fleet", async () => {
    const taken = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))._unsafeUnwrap();
    const daemon = buildDaemon({ ...settings, metricsListenAddress: `127.0.0.1:${taken.getPort()}` });
    const started = await daemon.start();
    await daemon.close();
    await taken.close();
    assert.equal(started.isOk(), true);
});

test("links that other daemons keep open do not delay a drain until its time limit", async () => {
    const port = await findFreePort();
    const daemon = buildDaemon({ ...settings, peerAddress: `127.0.0.1:${port}`, drainTimeoutMs: 3_000 });
    await daemon.start();
    await openLink(port, false);
    const halfOpen = await openLink(port, true);
    halfOpen.on("error", () => undefined);
    const drained = await daemon.drain("SIGTERM");
    halfOpen.destroy();
    await daemon.close();
    assert.equal(drained.isOk(), true, "the drain reached its time limit with no request in flight");
});

test("a process that exits at the drain time limit closes its links cleanly, so that replies on them arrive", async () => {
    const port = await findFreePort();
    const callerPort = await findFreePort();
    const daemon = buildDaemon({
        ...settings,
        callerAddress: `127.0.0.1:${callerPort}`,
        peerAddress: `127.0.0.1:${port}`,
        drainTimeoutMs: 100,
    });
    await daemon.start();
    const link = await openLink(port, true);
    const linkEnd = once(link, "end");
    // A request whose body never ends delays the drain until its time limit.
    const caller = connect(callerPort, "127.0.0.1");
    caller.on("error", () => undefined);
    caller.write("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\n1");
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.equal((await daemon.drain("SIGTERM")).isErr(), true);
    await daemon.closeConnections();
    await linkEnd;
    caller.destroy();
    link.destroy();
    await daemon.waitForClose();
    await daemon.close();
});
