import assert from "node:assert/strict";
import { test } from "node:test";
import { buildDaemon } from "./build_daemon.ts";
import { LogLevel } from "./core/log_level.ts";
import { HttpListener } from "./edge/http/http_listener.ts";

test("a daemon whose metrics port is taken serves all the same, so that a foreign port cannot stop the fleet", async () => {
    const taken = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))._unsafeUnwrap();
    const daemon = buildDaemon({
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
        metricsListenAddress: `127.0.0.1:${taken.getPort()}`,
        logLevel: LogLevel.Error,
        maxRequestBytes: 1_000,
        gossipIntervalMs: 60_000,
        watchMs: 1_000,
        startWaitMs: 0,
        drainGraceMs: 0,
        drainQuietMs: 0,
        drainTimeoutMs: 1_000,
    });
    const started = await daemon.start();
    await daemon.close();
    await taken.close();
    assert.equal(started.isOk(), true);
});
