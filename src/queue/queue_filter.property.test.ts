import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Outcome } from "../core/outcome.ts";
import { WorkClass } from "../core/work_class.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "./configured_upstreams.ts";
import { QueueFilter } from "./queue_filter.ts";
import type { ScheduledRequest } from "./scheduled_request.ts";

const action = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("add" as const),
            organisation: fc.integer({ min: 0, max: 4 }),
            long: fc.boolean(),
            budgetMs: fc.integer({ min: 0, max: 3_000 }),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("close" as const),
            index: fc.nat(20),
            shed: fc.constantFrom(...Array.from({ length: 9 }, () => false), true),
            pauseMs: fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, fc.integer({ min: 1, max: 2_000 })),
            serviceMs: fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("abort" as const), index: fc.nat(40) }) },
    {
        weight: 3,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 200 }) }),
    },
);

test("no sequence of arrivals, ends, aborts and delays exceeds a limit or loses a request", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(action, { maxLength: 120, size: "max" }),
            fc.integer({ min: 1, max: 4 }),
            fc.integer({ min: 0, max: 4 }),
            async (actions, slots, reserveShort) => {
                const time = new VirtualTime();
                const service = buildService({
                    limits: { reserveShort, queueLength: 8, organisationPercent: 50 },
                    routes: [{}, { workClass: WorkClass.Long, serviceMs: 400 }],
                });
                const queue = new QueueFilter({
                    clock: time,
                    timers: time,
                    upstreams: new ConfiguredUpstreams([{
                        id: "u1",
                        service: "payments",
                        address: "",
                        slots,
                    }]),
                    daemonState: { getState: () => DaemonState.Serving },
                });
                const callers: AbortController[] = [];
                const open: ScheduledRequest[] = [];
                const closed: ScheduledRequest[] = [];
                let shed: boolean = false;
                /** Violated invariants; a failed assertion inside the promise would not fail the test. */
                const violations: string[] = [];
                const completions = new Map<string, number>();
                const addRequest = (organisation: number, long: boolean, budgetMs: number): void => {
                    const caller = new AbortController();
                    const requestId = `r${callers.push(caller)}`;
                    const request = buildOwnerRequest({
                        requestId,
                        service,
                        route: service.routes[long ? 1 : 0]!,
                        organisation: `o${organisation}`,
                        receivedAtMs: time.getMonotonicMs(),
                        deadlineMs: time.getMonotonicMs() + budgetMs,
                        signal: caller.signal,
                    });
                    void queue.apply(request).then(result => {
                        completions.set(requestId, (completions.get(requestId) ?? 0) + 1);
                        if (result.isErr()) {
                            violations.push(
                                ...result.error.outcome === Outcome.NotExecuted ? [] : ["outcome"],
                            );
                            return;
                        }
                        violations.push(...time.getMonotonicMs() < request.deadlineMs ? [] : ["deadline"]);
                        violations.push(...caller.signal.aborted ? ["caller had disconnected"] : []);
                        open.push(result.value);
                    });
                };
                for (const step of actions) {
                    if (step.kind === "add") {
                        addRequest(step.organisation, step.long, step.budgetMs);
                    }
                    else if (step.kind === "abort" && callers.length > 0) {
                        callers[step.index % callers.length]!.abort();
                    }
                    else if (step.kind === "close" && open.length > 0) {
                        // After a pause, the completion is handled before the timers that became due.
                        time.addPause(step.pauseMs);
                        const request = open.splice(step.index % open.length, 1)[0]!;
                        request.permit.close(step.serviceMs, step.shed);
                        shed ||= step.shed;
                        closed.push(request);
                        closed[step.index % closed.length]!.permit.close(1);
                    }
                    await time.run(step.kind === "wait" ? step.ms : 0);
                    assert.deepEqual(violations, []);
                    const state = queue.getState("u1")!;
                    const runningLong = open.filter(entry => entry.route.workClass === WorkClass.Long).length;
                    assert.equal(state.running, open.length);
                    assert.ok(open.length <= slots, "more requests running than slots");
                    assert.ok(
                        runningLong <= Math.max(1, slots - reserveShort),
                        "long requests in reserved slots",
                    );
                    assert.ok(state.queuedShort <= 4 && state.queuedLong <= 4, "queue longer than its limit");
                    assert.equal(
                        completions.size + state.queuedShort + state.queuedLong,
                        callers.length,
                        "request lost",
                    );
                    // After a shed request the limit is below the nominal slots.
                    const hasIdleSlot: boolean = !shed && open.length < slots && state.queuedShort > 0;
                    assert.equal(hasIdleSlot, false, "a short request waits although a slot is free");
                }
                await time.run(5_000);
                assert.equal(completions.size, callers.length, "a request did not complete");
                assert.ok([...completions.values()].every(count => count === 1), "a request completed twice");
            },
        ),
        { seed: 20_261_204, numRuns: 200 },
    );
});
