import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ActiveConfig } from "../config/active_config.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { PlatformReader } from "../published/platform_reader.ts";
import type { PlatformValue } from "../published/platform_value.ts";
import { PeerSelector } from "./peer_selector.ts";
import { StartupQuery } from "./startup_query.ts";

const refuseCall = async () => err(createFailure(Code.PlatformUnreachable));

function createFixture(platform: Partial<PlatformReader>, answers: (address: string) => Promise<number>) {
    const time = new VirtualTime();
    const sinks = new RecordingSinks();
    const asked: string[] = [];
    let active: ActiveConfig | undefined;
    const setVersion = (version: number) => {
        const configuration = { team: "", services: new Map() };
        active = version > (active?.version ?? 0)
            ? { version, digest: "", source: "", configuration }
            : active;
    };
    const membership = {
        getDaemons: () => new Map(),
        getVersion: () => 0,
        recordIncarnation: () => {},
        setDaemonLeaving: () => true,
        setDaemonStarted: () => {},
    };
    const query = new StartupQuery({
        platform: { fetchValue: refuseCall, fetchInstances: refuseCall, close: () => {}, ...platform },
        configuration: { apply: (value: PlatformValue) => ok(setVersion(value.version)) },
        instances: { apply: () => ok(undefined) },
        gossip: {
            sendHeads: async peer => {
                asked.push(peer.address);
                const version = await answers(peer.address);
                setVersion(version);
                return version > 0;
            },
        },
        selector: new PeerSelector({
            daemonId: "daemon-0",
            failureDomain: "domain-0",
            membership,
            random: new SeededRandom(1),
            seeds: ["a", "b", "c", "d", "e"],
        }),
        store: { getActive: () => active },
        timers: time,
        logger: sinks,
    });
    return { time, query, asked };
}

test("a start takes the newest of platform and peers, so that a stale platform does not decide", async () => {
    const platform = { fetchValue: async () => ok({ name: "head", version: 4, content: "" }) };
    const { query, asked } = createFixture(platform, async address => address === "a" ? 5 : 7);
    const report = (await query.run())._unsafeUnwrap();
    assert.deepEqual(report, { platform: true, peers: asked.length, version: 7 });
    assert.ok(asked.length >= 3);
});

test("peers that do not reply are replaced by others", async () => {
    const { query, asked } = createFixture({}, async address => address === "d" ? 3 : 0);
    assert.equal((await query.run())._unsafeUnwrap().version, 3);
    assert.ok(asked.includes("d"));
});

test("a start without any reply ends at its time limit and is not ready", async () => {
    const { time, query } = createFixture(
        { fetchValue: () => new Promise(() => {}) },
        () => new Promise(() => {}),
    );
    const result = query.run();
    await time.run(5_000);
    assert.equal((await result)._unsafeUnwrapErr().code, Code.NotReady);
});
