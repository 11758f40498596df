import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { DaemonState } from "./daemon_state.ts";
import { Lifecycle } from "./lifecycle.ts";
import { RequestSource } from "./request_source.ts";

function createFixture(quietMs = 0, answerDeadlineMs?: number) {
    const sinks = new RecordingSinks();
    const time = new VirtualTime();
    const steps: string[] = [];
    const lifecycle = new Lifecycle({
        clock: time,
        timers: time,
        audit: sinks,
        logger: sinks,
        metrics: sinks,
        graceMs: 5_000,
        limitMs: 60_000,
        quietMs,
        answerDeadlineMs,
        announcer: { sendLeaving: () => void steps.push("announce") },
        queue: {
            releaseQueued: () => {
                steps.push("release");
                return 2;
            },
        },
        getListeners: () => [{
            stop: () => void steps.push("stop"),
            close: async () => void steps.push("close"),
        }],
    });
    lifecycle.setServing();
    return { sinks, time, steps, lifecycle };
}

test("a drain closes the listeners only after the last request has ended, so that none is aborted", async () => {
    const { time, steps, lifecycle } = createFixture();
    const request = lifecycle.registerRequest(RequestSource.Caller);
    const drain = lifecycle.drain("operator");
    await time.run(20_000);
    assert.deepEqual(steps, ["announce", "release"]);
    assert.equal(lifecycle.isRefusing(), true);
    assert.equal(lifecycle.getState(), DaemonState.Draining);
    request?.close(true);
    request?.close(true);
    const report = (await drain)._unsafeUnwrap();
    assert.deepEqual(steps, ["announce", "release", "stop", "close"]);
    assert.deepEqual(report, { released: 2, inFlight: 1, durationMs: 20_000 });
    assert.equal(lifecycle.registerRequest(RequestSource.Caller), undefined);
});

test("a drain without requests lasts the grace period, in which callers are still served", async () => {
    const { time, steps, lifecycle } = createFixture();
    void lifecycle.drain("operator");
    await time.run(4_999);
    assert.deepEqual(steps, ["announce", "release"]);
    assert.notEqual(lifecycle.registerRequest(RequestSource.Caller), undefined);
    await time.run(1);
    assert.equal(lifecycle.getState(), DaemonState.Draining);
});

test("a late drain is reported and still aborts no request", async () => {
    const { sinks, time, steps, lifecycle } = createFixture();
    const request = lifecycle.registerRequest(RequestSource.Caller);
    const drain = lifecycle.drain("operator");
    await time.run(60_000);
    assert.equal((await drain)._unsafeUnwrapErr().code, Code.DrainTimeout);
    assert.deepEqual(sinks.listCodes("drain_late"), [Code.DrainTimeout]);
    assert.equal(steps.includes("close"), false);
    request?.close(true);
    await lifecycle.waitForClose("operator");
    assert.equal(lifecycle.getState(), DaemonState.Closed);
});

test("listeners stay open while requests still arrive, because a closing listener resets new connections", async () => {
    const { time, steps, lifecycle } = createFixture(500);
    void lifecycle.drain("operator");
    await time.run(5_100);
    lifecycle.recordRefusal();
    await time.run(499);
    assert.equal(steps.includes("stop"), false);
    await time.run(1);
    assert.equal(steps.includes("close"), true);
});

test("callers that keep sending do not hold a drain beyond its time limit", async () => {
    const { time, steps, lifecycle } = createFixture(500);
    void lifecycle.drain("operator");
    for (let elapsedMs = 0; elapsedMs < 60_500; elapsedMs += 100) {
        await time.run(100);
        lifecycle.recordRefusal();
    }
    assert.equal(steps.includes("close"), true);
});

test("a late drain counts requests by source and outcome, so that a leak can be told apart from slow work", async () => {
    const { sinks, time, lifecycle } = createFixture();
    lifecycle.registerRequest(RequestSource.Caller)?.close(true);
    lifecycle.registerRequest(RequestSource.Caller)?.close(false);
    lifecycle.registerRequest(RequestSource.Caller);
    await time.run(1_000);
    void lifecycle.drain("operator");
    lifecycle.registerRequest(RequestSource.Daemon);
    lifecycle.registerRequest(RequestSource.Daemon)?.close(false);
    await time.run(60_000);
    const { fields } = sinks.events.find(({ event }) => event === "drain_late")!;
    const { received, answered, unanswered, callers, daemons, oldestMs } = fields;
    assert.deepEqual(
        { received, answered, unanswered, callers, daemons, oldestMs },
        { received: 5, answered: 1, unanswered: 2, callers: 1, daemons: 1, oldestMs: 61_000 },
    );
    const unansweredLines = sinks.events.filter(({ event }) => event === "request_unanswered");
    assert.deepEqual(unansweredLines.map(line => line.fields), [{ source: "daemon", ageMs: 0 }]);
});

test("waiting callers are answered at the answer deadline, and not at all when there is none", async () => {
    for (const answerDeadlineMs of [undefined, 50_000]) {
        const { sinks, time, lifecycle } = createFixture(0, answerDeadlineMs);
        const answered: string[] = [];
        lifecycle.registerRequest(RequestSource.Caller, () => answered.push("done"))?.close(true);
        lifecycle.registerRequest(RequestSource.Caller, () => answered.push("waiting"));
        lifecycle.registerRequest(RequestSource.Daemon);
        void lifecycle.drain("SIGTERM");
        await time.run(49_999);
        assert.deepEqual(answered, []);
        await time.run(1);
        assert.deepEqual(answered, answerDeadlineMs === undefined ? [] : ["waiting"]);
        const lines = sinks.events.filter(({ event }) => event === "drain_answers");
        assert.equal(lines.length, answerDeadlineMs === undefined ? 0 : 1);
    }
});
