import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { createPlatformApp } from "../standin/create_platform_app.ts";
import { findFreePorts } from "../standin/find_free_ports.ts";
import { PlatformState } from "../standin/platform_state.ts";
import { waitUntil } from "../standin/wait_until.ts";
import { buildDaemon } from "./build_daemon.ts";
import { LogLevel } from "./core/log_level.ts";

const configuration = `team: test
services:
  payments:
    members: 1
    floor: 1
    routes:
      balance: { method: GET, path: /balance, class: short, idempotent: true, deadlineMs: 1000 }
      pay: { method: POST, path: /pay, class: short, idempotent: false, deadlineMs: 1000 }
`;

/** Starts an upstream that answers each request with one status, and returns its port and what it received. */
async function startUpstream(context: TestContext, status: string) {
    const received: string[] = [];
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => {
            received.push(data.toString());
            socket.write(
                `HTTP/1.1 ${status} Odd\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nodd`,
            );
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => void server.close());
    return { port: (server.address() as { port: number; }).port, received };
}

/** Starts a daemon that owns one upstream, with a platform, and returns its address for callers. */
async function startDaemon(context: TestContext, upstreamPort: number): Promise<string> {
    const [platformPort, ...ports] = await findFreePorts(4);
    const [callerAddress, peerAddress, adminAddress] = ports.map(port => `127.0.0.1:${port}`) as [
        string,
        string,
        string,
    ];
    const state = new PlatformState();
    state.setValue("head", configuration);
    const place = {
        failureDomain: "domain",
        region: "region",
        ownerId: "daemon-1",
        ownerAddress: peerAddress,
    };
    state.setValue(
        "instances",
        JSON.stringify([{ id: "u1", service: "payments", ...place, leaving: false }]),
    );
    const platform = createPlatformApp(state).listen(platformPort, "127.0.0.1");
    const daemon = buildDaemon({
        daemonId: "daemon-1",
        failureDomain: "domain",
        region: "region",
        callerAddress,
        peerAddress,
        adminAddress,
        platformUrl: `http://127.0.0.1:${platformPort}`,
        upstreams: [{ id: "u1", service: "payments", address: `127.0.0.1:${upstreamPort}`, slots: 1 }],
        peers: [],
        metricsAddress: undefined,
        metricsListenAddress: undefined,
        logLevel: LogLevel.Error,
        maxRequestBytes: 1_000,
        answerMemoryBytes: 65_536,
        memoryBytes: 268_435_456,
        maxCallerConnections: 100,
        gossipIntervalMs: 60_000,
        watchMs: 100,
        startWaitMs: 5_000,
        drainGraceMs: 0,
        drainQuietMs: 0,
        drainTimeoutMs: 1_000,
    });
    context.after(async () => {
        await daemon.close();
        platform.closeAllConnections();
        platform.close();
    });
    assert.equal((await daemon.start()).isOk(), true);
    await waitUntil("the daemon serves", 5_000, () => Promise.resolve(daemon.isReady()));
    return `http://${callerAddress}`;
}

for (const status of ["000", "600", "999"]) {
    test(`status ${status} of an upstream never reaches the caller as an answer or as a promise that nothing ran`, async context => {
        const upstream = await startUpstream(context, status);
        const url = await startDaemon(context, upstream.port);
        for (const [method, path] of [["GET", "/balance"], ["POST", "/pay"]] as const) {
            upstream.received.length = 0;
            const response = await fetch(`${url}${path}`, { method });
            const problem = await response.json() as { outcome: string; };
            assert.ok(upstream.received.length > 0, "the request has reached the upstream");
            assert.deepEqual([response.status, problem.outcome], [502, "unknown"], method);
            if (method === "POST") {
                assert.equal(upstream.received.length, 1, "work that may not be repeated is sent once");
            }
        }
    });
}
