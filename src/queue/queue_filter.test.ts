import type { Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import { WorkClass } from "../core/work_class.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "./configured_upstreams.ts";
import { QueueFilter } from "./queue_filter.ts";
import type { ScheduledRequest } from "./scheduled_request.ts";

function openQueue(slots: number) {
    const time = new VirtualTime();
    const daemon: { state: DaemonState; } = { state: DaemonState.Serving };
    const queue = new QueueFilter({
        clock: time,
        timers: time,
        upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address: "", slots }]),
        daemonState: { getState: () => daemon.state },
    });
    return { time, daemon, queue };
}

function checkRefusal(result: Result<ScheduledRequest, Failure>, code: Code): void {
    const failure = result._unsafeUnwrapErr();
    assert.deepEqual([failure.code, failure.outcome], [code, Outcome.NotExecuted]);
}

test("an upstream of another owner is refused, so that no upstream has two queues", async () => {
    const { queue } = openQueue(1);
    checkRefusal(await queue.apply(buildOwnerRequest({ upstreamId: "u2" })), Code.NotOwner);
    assert.equal(queue.getState("u2"), undefined);
});

test("a queued request starts when a slot is released, and a permit releases only one slot", async () => {
    const { queue } = openQueue(1);
    const first = (await queue.apply(buildOwnerRequest()))._unsafeUnwrap();
    const second = queue.apply(buildOwnerRequest());
    const third = queue.apply(buildOwnerRequest());
    first.permit.close(50);
    first.permit.close(50);
    (await second)._unsafeUnwrap();
    assert.equal(queue.getState("u1")?.running, 1);
    assert.equal(queue.getState("u1")?.queuedShort, 1);
    queue.drain();
    checkRefusal(await third, Code.OwnerLeaving);
});

test("a draining owner refuses queued requests and lets running ones complete", async () => {
    const { queue, daemon } = openQueue(1);
    const first = (await queue.apply(buildOwnerRequest()))._unsafeUnwrap();
    const second = queue.apply(buildOwnerRequest());
    queue.drainUpstream("u1");
    checkRefusal(await second, Code.OwnerLeaving);
    checkRefusal(await queue.apply(buildOwnerRequest()), Code.OwnerLeaving);
    assert.equal(queue.getState("u1")?.running, 1);
    first.permit.close(50);
    daemon.state = DaemonState.Draining;
    checkRefusal(await queue.apply(buildOwnerRequest()), Code.OwnerLeaving);
});

test("a queued request ends at its deadline or when its caller disconnects, and never starts", async () => {
    const { queue, time } = openQueue(1);
    const first = (await queue.apply(buildOwnerRequest()))._unsafeUnwrap();
    const caller = new AbortController();
    const aborted = queue.apply(buildOwnerRequest({ signal: caller.signal }));
    const expired = queue.apply(buildOwnerRequest());
    caller.abort();
    checkRefusal(await aborted, Code.CallerCancelled);
    await time.run(1_000);
    checkRefusal(await expired, Code.DeadlineExceeded);
    first.permit.close(undefined);
    assert.equal(queue.getState("u1")?.running, 0);
    checkRefusal(await queue.apply(buildOwnerRequest({ signal: caller.signal })), Code.CallerCancelled);
});

test("a full queue and a wait beyond the deadline are refused on arrival, before any dispatch", async () => {
    const { queue } = openQueue(1);
    const service = buildService({ limits: { queueLength: 1 } });
    await queue.apply(buildOwnerRequest({ service }));
    checkRefusal(await queue.apply(buildOwnerRequest({ service, deadlineMs: 99 })), Code.WaitTooLong);
    void queue.apply(buildOwnerRequest({ service }));
    checkRefusal(await queue.apply(buildOwnerRequest({ service, organisation: "o2" })), Code.QueueFull);
    queue.drain();
});

test("long requests do not use the slots that are reserved for short ones", async () => {
    const { queue } = openQueue(2);
    const service = buildService({ routes: [{}, { workClass: WorkClass.Long }] });
    const addLong = () => queue.apply(buildOwnerRequest({ service, route: service.routes[1]! }));
    await addLong();
    const waiting = addLong();
    (await queue.apply(buildOwnerRequest({ service })))._unsafeUnwrap();
    assert.equal(queue.getState("u1")?.queuedLong, 1);
    queue.drain();
    checkRefusal(await waiting, Code.OwnerLeaving);
});

test("short requests are redirected only while redirectable, so that each is queued in the end", async () => {
    const { queue } = openQueue(1);
    const service = buildService({ routes: [{}, { workClass: WorkClass.Long }] });
    await queue.apply(buildOwnerRequest({ service, redirectable: true }));
    checkRefusal(await queue.apply(buildOwnerRequest({ service, redirectable: true })), Code.RetryElsewhere);
    void queue.apply(buildOwnerRequest({ service }));
    void queue.apply(buildOwnerRequest({ service, route: service.routes[1]!, redirectable: true }));
    assert.equal(queue.getState("u1")?.queuedShort, 1);
    assert.equal(queue.getState("u1")?.queuedLong, 1);
    queue.drain();
});

test("a queue that is full of long requests still admits short ones", async () => {
    const { queue } = openQueue(1);
    const service = buildService({
        limits: { queueLength: 4, organisationPercent: 100 },
        routes: [{}, { workClass: WorkClass.Long }],
    });
    const addLong = (organisation: string) =>
        queue.apply(buildOwnerRequest({ service, organisation, route: service.routes[1]! }));
    await addLong("o1");
    void addLong("o1");
    void addLong("o2");
    checkRefusal(await addLong("o3"), Code.QueueFull);
    void queue.apply(buildOwnerRequest({ service }));
    assert.equal(queue.getState("u1")?.queuedShort, 1);
    queue.drain();
});

test("admission uses measured times, so that a slow queue refuses what a fast one admits", async () => {
    const countAccepted = async (serviceMs: number): Promise<number> => {
        const { queue, time } = openQueue(1);
        const addRequest = (budgetMs: number) => {
            const receivedAtMs = time.getMonotonicMs();
            return queue.apply(buildOwnerRequest({ receivedAtMs, deadlineMs: receivedAtMs + budgetMs }));
        };
        for (let index = 0; index < 40; index++) {
            const request = (await addRequest(1_000))._unsafeUnwrap();
            await time.run(serviceMs);
            request.permit.close(serviceMs);
        }
        await addRequest(1_000);
        void addRequest(100);
        const accepted = queue.getState("u1")!.queuedShort;
        queue.drain();
        return accepted;
    };
    assert.deepEqual([await countAccepted(10), await countAccepted(90)], [1, 0]);
});

test("a request that gets a slot starts with little time left, so that its wait is not wasted", async () => {
    const { queue, time } = openQueue(1);
    const first = (await queue.apply(buildOwnerRequest()))._unsafeUnwrap();
    const waiting = queue.apply(buildOwnerRequest({ requestId: "r2", deadlineMs: 1_000 }));
    await time.run(940);
    first.permit.close(undefined);
    assert.equal((await waiting).isOk(), true);
});

// Guards against a constant time to return: callers came back while the queue was as long as before.
test("a refused request learns when a slot is free for its priority and organisation", async () => {
    const { queue } = openQueue(1);
    const service = buildService({
        routes: [{ serviceMs: 100, priority: 1 }, { serviceMs: 100, priority: 0 }],
        limits: { targetWaitMs: 10_000 },
    });
    const [ordinary, urgent] = service.routes;
    await queue.apply(buildOwnerRequest({ service, route: ordinary! }));
    for (let count = 0; count < 4; count += 1) {
        void queue.apply(buildOwnerRequest({ service, route: ordinary! }));
    }
    const getReturnMs = async (parts: Parameters<typeof buildOwnerRequest>[0]) =>
        (await queue.apply(buildOwnerRequest({ service, deadlineMs: 110, ...parts })))._unsafeUnwrapErr()
            .retryAfterMs;
    // One request runs and four wait, of 100 ms each.
    assert.equal(await getReturnMs({ route: ordinary! }), 500);
    assert.equal(await getReturnMs({ route: ordinary!, organisation: "o2" }), 200);
    assert.equal(await getReturnMs({ route: urgent! }), 100);
    queue.drain();
});

// Guards against requests that are held until their deadline although they cannot be served any more.
test("a request that a burst of urgent ones displaces beyond its deadline is refused at once", async () => {
    const { queue } = openQueue(1);
    const service = buildService({
        routes: [{ serviceMs: 100, priority: 1 }, { serviceMs: 100, priority: 0 }],
        limits: { targetWaitMs: 10_000, organisationPercent: 100 },
    });
    const [ordinary, urgent] = service.routes;
    const running = (await queue.apply(buildOwnerRequest({ service, route: urgent! })))._unsafeUnwrap();
    const first = queue.apply(buildOwnerRequest({ service, route: ordinary! }));
    const displaced = queue.apply(buildOwnerRequest({ service, route: ordinary!, deadlineMs: 500 }));
    for (let count = 0; count < 4; count += 1) {
        void queue.apply(buildOwnerRequest({ service, route: urgent! }));
    }
    checkRefusal(await displaced, Code.WaitTooLong);
    assert.equal(queue.getState("u1")?.queuedShort, 5);
    running.permit.close(100);
    queue.drain();
    checkRefusal(await first, Code.OwnerLeaving);
});
