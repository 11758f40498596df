import assert from "node:assert/strict";
import { test } from "node:test";
import { buildService } from "../../proof/fakes/build_service.ts";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildTestMembers } from "../../proof/health/build_test_members.ts";
import { createDefaultRoute } from "../config/create_default_route.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { ExpectedLossSelector } from "./expected_loss_selector.ts";

class Setup {
    readonly time = new VirtualTime();
    readonly unresponsive = new Set<string>();
    readonly selector: ExpectedLossSelector;
    readonly leaving: string[] = [];
    hasBudget = true;

    constructor(count: number) {
        const members = buildTestMembers(count).map(member => ({ ...member, failureDomain: "domain 0" }));
        this.selector = new ExpectedLossSelector({
            clock: this.time,
            random: new SeededRandom(3),
            membership: { list: () => members, getFirstSeenMs: () => 0, getVersion: () => 1 },
            leaving: { setLeaving: upstreamId => void this.leaving.push(upstreamId) },
            budget: {
                add: () => undefined,
                has: () => this.hasBudget,
                take: () => this.hasBudget,
                addRepeat: () => undefined,
                release: () => undefined,
            },
            peerStatus: { isUnresponsive: ownerId => this.unresponsive.has(ownerId) },
            failureDomain: "domain 0",
            region: "region",
        });
    }

    report(upstreamId: string, parts: Partial<UpstreamState>): void {
        const state: UpstreamState = {
            upstreamId,
            slots: 3,
            running: 0,
            queuedShort: 0,
            queuedLong: 0,
            waitShortMs: 0,
            waitLongMs: 0,
            healthScore: 0,
            leaving: false,
            faultProbability: 0.01,
            ...parts,
        };
        this.selector.recordState(state, this.time.getMonotonicMs());
    }

    countSelections(idempotent: boolean, upstreamId: string): number {
        return Array.from({ length: selections }, () => this.select(idempotent)._unsafeUnwrap().upstream.id)
            .filter(id => id === upstreamId).length;
    }

    select(idempotent: boolean, excluded: ReadonlySet<string> = new Set()) {
        const nowMs = this.time.getMonotonicMs();
        const route = createDefaultRoute({
            name: "r",
            service: "payments",
            idempotent,
            targetMs: 800,
            deadlineMs: 2_000,
            maxAttempts: 2,
        });
        const request: RoutedRequest = {
            requestId: "1",
            method: "GET",
            host: "",
            path: "/",
            target: "/",
            headers: [],
            body: new Uint8Array(),
            organisation: "",
            idempotencyKey: undefined,
            budgetMs: undefined,
            receivedAtMs: nowMs,
            signal: new AbortController().signal,
            service: buildService(),
            route,
            deadlineMs: nowMs + 2_000,
            configVersion: 1,
        };
        return this.selector.select(request, 1, excluded);
    }
}

/** Selections for each state, enough to distinguish shares from chance. */
const selections = 400;

const busy = { running: 3, waitShortMs: 300, waitLongMs: 300 };

test("non-idempotent requests go to an upstream that has just succeeded", () => {
    const setup = new Setup(3);
    setup.report("u0", { faultProbability: 0.61 });
    setup.report("u1", { faultProbability: 0.005 });
    setup.report("u2", { faultProbability: 0.9 });
    assert.equal(setup.countSelections(false, "u1"), selections);
});

test("non-idempotent requests send some trial requests to a suspected upstream, but only a few", () => {
    const setup = new Setup(2);
    setup.report("u0", { faultProbability: 0.5 });
    setup.report("u1", { faultProbability: 0.005 });
    const trials = setup.countSelections(false, "u0");
    assert.ok(trials > 0 && trials < selections / 10, `${trials} trials`);
});

test("healthy upstreams all get requests although some were used slightly later than others", () => {
    const setup = new Setup(4);
    setup.hasBudget = false;
    for (const [index, faultProbability] of [0.002, 0.01, 0.02, 0.04].entries()) {
        setup.report(`u${index}`, { faultProbability });
    }
    for (const idempotent of [true, false]) {
        for (const upstreamId of ["u0", "u1", "u2", "u3"]) {
            assert.ok(setup.countSelections(idempotent, upstreamId) > selections / 8);
        }
    }
});

test("an upstream that may have recovered gets trial requests when no retry budget is left", () => {
    const setup = new Setup(2);
    setup.hasBudget = false;
    setup.report("u0", { faultProbability: 0.7 });
    setup.report("u1", { faultProbability: 0.005 });
    assert.ok(setup.countSelections(true, "u0") > 0);
    setup.report("u0", { faultProbability: 0.81 });
    assert.equal(setup.countSelections(true, "u0"), 0);
});

test("a request waits at a busy healthy upstream rather than go to a free one that probably has a fault", () => {
    const setup = new Setup(2);
    setup.report("u0", { faultProbability: 0.84 });
    setup.report("u1", busy);
    setup.hasBudget = false;
    for (const idempotent of [true, false]) {
        const selected = setup.select(idempotent)._unsafeUnwrap();
        assert.deepEqual([selected.upstream.id, selected.redirectable], ["u1", false]);
    }
});

test("a failing upstream is used when there is no other, because some of its requests may succeed", () => {
    const setup = new Setup(1);
    setup.report("u0", { faultProbability: 0.99 });
    assert.equal(setup.select(false)._unsafeUnwrap().upstream.id, "u0");
});

test("idempotent requests explore whether an upstream has recovered while attempts and retry budget are left", async () => {
    const setup = new Setup(2);
    setup.report("u0", { faultProbability: 0.7 });
    setup.report("u1", { faultProbability: 0.005 });
    await setup.time.run(1_000);
    setup.report("u1", { faultProbability: 0.005 });
    assert.equal(setup.select(true)._unsafeUnwrap().upstream.id, "u0");
    setup.report("u0", { faultProbability: 0.9 });
    setup.hasBudget = false;
    assert.equal(setup.countSelections(true, "u1"), selections);
});

test("an unresponsive owner gets no requests while another owner responds; with none, a first attempt is still made", () => {
    const setup = new Setup(2);
    setup.unresponsive.add("owner 0");
    assert.equal(setup.select(false)._unsafeUnwrap().upstream.id, "u1");
    setup.unresponsive.add("owner 1");
    assert.equal(setup.select(false).isOk(), true);
});

test("an upstream that is leaving according to a beacon is recorded as leaving", () => {
    const setup = new Setup(1);
    setup.report("u0", { leaving: true });
    assert.deepEqual(setup.leaving, ["u0"]);
});
