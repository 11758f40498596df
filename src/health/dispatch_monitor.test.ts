import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTestService } from "../../proof/health/build_test_service.ts";
import type { UpstreamResult } from "../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import { DispatchMonitor } from "./dispatch_monitor.ts";
import type { Evidence } from "./evidence.ts";
import { PauseMeter } from "./pause_meter.ts";

const service = buildTestService();

class Setup {
    readonly time = new VirtualTime();
    readonly evidence: Evidence[] = [];
    readonly pauses = new PauseMeter({ clock: this.time, timers: this.time });
    readonly monitor = new DispatchMonitor({
        clock: this.time,
        timers: this.time,
        evidence: { record: evidence => void this.evidence.push(evidence), getScore: () => 0 },
        pauses: this.pauses,
    });

    start(baselineMs: number): OwnerRequest {
        const request: OwnerRequest = {
            requestId: "1",
            attempt: 1,
            upstreamId: "u0",
            service,
            route: service.routes[0]!,
            organisation: "",
            idempotencyKey: undefined,
            receivedAtMs: this.time.getMonotonicMs(),
            deadlineMs: 10_000,
            baselineMs,
            trial: false,
            method: "GET",
            target: "/read",
            headers: [],
            body: new Uint8Array(),
            signal: new AbortController().signal,
        };
        this.monitor.start(request);
        return request;
    }

    recordEnd(request: OwnerRequest, status: number, serviceMs: number): void {
        const headers = [{ name: "content-type", value: "application/json; charset=utf-8" }];
        const answer = { status, headers, body: new Uint8Array() };
        const result: UpstreamResult = { kind: UpstreamResultKind.Answered, answer, detail: "" };
        const permit = { close: () => undefined };
        this.monitor.record({ ...request, permit, waitMs: 0, result, refusal: undefined, serviceMs });
    }
}

test("a hanging exchange gives evidence before its deadline, at 1, 3 and 9 times the baseline", async () => {
    const setup = new Setup();
    setup.start(100);
    await setup.time.run(5_000);
    assert.deepEqual(setup.evidence.map(({ atMs }) => Math.round(atMs)), [100, 300, 900]);
});

test("a slow answer is counted once although it was overdue before it arrived", async () => {
    const setup = new Setup();
    const request = setup.start(100);
    await setup.time.run(150);
    setup.recordEnd(request, 200, 150);
    assert.equal(setup.evidence.length, 1);
});

test("a pause of this process does not count as service time of an answer", async () => {
    const setup = new Setup();
    const request = setup.start(100);
    await setup.time.run(10);
    setup.time.addPause(2_000);
    await setup.time.run(1);
    setup.recordEnd(request, 200, 2_011);
    assert.equal(setup.evidence.length, 1);
    const [{ serviceMs, expected }] = setup.evidence as [Evidence];
    assert.ok(expected && serviceMs < 100, `${serviceMs} ms`);
    setup.pauses.close();
});

test("a shed request gives no evidence, because an upstream that sheds load is not faulty", () => {
    const setup = new Setup();
    setup.recordEnd(setup.start(100), 503, 5);
    assert.deepEqual(setup.evidence, []);
});

test("an owner uses the baselines of other entry daemons for one that has none", async () => {
    const setup = new Setup();
    setup.recordEnd(setup.start(80), 200, 5);
    setup.recordEnd(setup.start(0), 200, 5);
    assert.deepEqual(setup.evidence.map(({ baselineMs }) => baselineMs), [80, 80]);
});
