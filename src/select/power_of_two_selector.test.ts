import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTestMembers } from "../../proof/health/build_test_members.ts";
import { buildTestService } from "../../proof/health/build_test_service.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Upstream } from "../core/upstream.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { HealthScoreTable } from "../health/health_score_table.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { PowerOfTwoSelector } from "./power_of_two_selector.ts";
import type { SelectedRequest } from "./selected_request.ts";

class Setup {
    readonly time = new VirtualTime();
    readonly scoreTable = new HealthScoreTable();
    readonly leaving: string[] = [];
    readonly service = buildTestService();
    readonly selector: PowerOfTwoSelector;
    private sent = 0;

    constructor(readonly members: readonly Upstream[] = buildTestMembers(6)) {
        this.selector = new PowerOfTwoSelector({
            clock: this.time,
            random: new SeededRandom(5),
            membership: { list: () => this.members, getFirstSeenMs: () => -60_000, getVersion: () => 1 },
            leaving: { setLeaving: upstreamId => void this.leaving.push(upstreamId) },
            audit: { record: () => undefined },
            scoreTable: this.scoreTable,
            failureDomain: "domain 0",
            region: "region",
        });
    }

    select(routeIndex = 0, excluded: ReadonlySet<string> = new Set()): SelectedRequest {
        const route = this.service.routes[routeIndex]!;
        const nowMs = this.time.getMonotonicMs();
        this.sent += 1;
        const request: RoutedRequest = {
            requestId: `${this.sent}`,
            method: route.method,
            host: "",
            path: route.path,
            target: route.path,
            headers: [],
            body: new Uint8Array(),
            organisation: "",
            idempotencyKey: undefined,
            budgetMs: undefined,
            receivedAtMs: nowMs,
            signal: new AbortController().signal,
            service: this.service,
            route,
            deadlineMs: nowMs + 1_000,
            configVersion: 1,
        };
        return this.selector.select(request, 1, excluded)._unsafeUnwrap();
    }

    sendReply(selected: SelectedRequest, code: Code): void {
        const failure = createFailure(code);
        const reply: OwnerReply = {
            ...failure,
            requestId: selected.requestId,
            attempt: 1,
            ownerId: selected.upstream.ownerId,
            incarnation: "",
            answer: undefined,
            serviceMs: 0,
            waitMs: 0,
            upstream: undefined,
        };
        this.selector.recordReply(selected, reply, 1);
    }

    countSelections(upstreamId: string, routeIndex = 0): number {
        const selections = Array.from({ length: 200 }, () => this.select(routeIndex));
        return selections.filter(({ upstream, trial }) => upstream.id === upstreamId && !trial).length;
    }

    setEjected(upstreamId: string): void {
        const atMs = this.time.getMonotonicMs();
        for (const { id } of this.members) {
            const score = id === upstreamId ? 18 : 0;
            const record = { upstreamId: id, service: this.service.name, score, atMs };
            this.scoreTable.record({ ...record, raisedSinceMs: atMs - 1_000 });
        }
        this.select();
    }
}

test("the local failure domain is preferred while idle, and requests go to others when it is loaded", () => {
    const setup = new Setup();
    const local = Array.from({ length: 200 }, () => setup.select())
        .filter(({ upstream }) => upstream.failureDomain === "domain 0").length;
    assert.ok(local > 140, `${local} of 200`);
    const loaded = Array.from({ length: 60 }, () => {
        const selected = setup.select();
        setup.selector.recordStart(selected);
        return selected.upstream.id;
    });
    const counts = setup.members.map(({ id }) => loaded.filter(other => other === id).length);
    assert.ok(Math.max(...counts) <= 15, counts.join(" "));
});

test("an ejected upstream gets no ordinary requests, and one idempotent trial request after its hold", async () => {
    const setup = new Setup();
    setup.setEjected("u0");
    assert.equal(setup.countSelections("u0"), 0);
    await setup.time.run(3_100);
    assert.equal(setup.select(1).trial, false);
    const trial = setup.select(0);
    assert.deepEqual([trial.upstream.id, trial.trial], ["u0", true]);
    setup.selector.recordStart(trial);
    assert.equal(setup.select(0).trial, false);
});

test("a failed hop makes this entry daemon avoid the path for a limited time and ejects no upstream", async () => {
    const setup = new Setup();
    const selected = setup.select();
    const { id } = selected.upstream;
    setup.selector.recordStart(selected);
    setup.sendReply(selected, Code.PeerTimeout);
    assert.equal(setup.countSelections(id), 0);
    const status = setup.selector.listStatus(setup.service).find(({ upstreamId }) => upstreamId === id);
    assert.deepEqual([status?.unreachable, status?.ejected], [true, false]);
    await setup.time.run(600);
    assert.ok(setup.countSelections(id) > 0);
    assert.equal(setup.countSelections(id, 1), 0);
});

test("when all paths fail, the entry daemon assumes a local fault and keeps all upstreams selectable", () => {
    const setup = new Setup();
    const tried = new Set<string>();
    while (tried.size < setup.members.length) {
        const selected = setup.select(0, tried);
        setup.selector.recordStart(selected);
        setup.sendReply(selected, Code.PeerUnreachable);
        tried.add(selected.upstream.id);
    }
    assert.equal(tried.size, 6);
    assert.ok(setup.selector.listStatus(setup.service).every(({ inRotation }) => inRotation));
});

test("an upstream whose reply is overdue gets no further requests until it replies", async () => {
    const setup = new Setup();
    const selected = setup.select();
    setup.selector.recordStart(selected);
    await setup.time.run(600);
    assert.equal(setup.countSelections(selected.upstream.id), 0);
});

test("a refusal with code OwnerLeaving marks the upstream as leaving, so that it gets no new requests", () => {
    const setup = new Setup();
    const selected = setup.select();
    setup.sendReply(selected, Code.OwnerLeaving);
    assert.deepEqual(setup.leaving, [selected.upstream.id]);
});
