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
    readonly silent = new Set<string>();
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
                release: () => undefined,
            },
            peerStatus: { isUnresponsive: ownerId => this.silent.has(ownerId) },
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

/** Selections of one state, so that a share can be told from chance. */
const selections = 400;

const busy = { running: 3, waitShortMs: 300, waitLongMs: 300 };

test("work that must not be repeated goes where something has just succeeded", () => {
    const setup = new Setup(3);
    setup.report("u0", { faultProbability: 0.61 });
    setup.report("u1", { faultProbability: 0.005 });
    setup.report("u2", { faultProbability: 0.9 });
    assert.equal(setup.countSelections(false, "u1"), selections);
});

test("work that must not be repeated lets an upstream stay suspected for ever, or takes more than a few trials", () => {
    const setup = new Setup(2);
    setup.report("u0", { faultProbability: 0.5 });
    setup.report("u1", { faultProbability: 0.005 });
    const trials = setup.countSelections(false, "u0");
    assert.ok(trials > 0 && trials < selections / 10, `${trials} trials`);
});

test("upstreams that work get nothing because others were used a little later", () => {
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

test("an upstream that may work again stays suspected when no retry budget is left", () => {
    const setup = new Setup(2);
    setup.hasBudget = false;
    setup.report("u0", { faultProbability: 0.7 });
    setup.report("u1", { faultProbability: 0.005 });
    assert.ok(setup.countSelections(true, "u0") > 0);
    setup.report("u0", { faultProbability: 0.81 });
    assert.equal(setup.countSelections(true, "u0"), 0);
});

test("a request waits at a busy upstream that works rather than meet a fault at a free one", () => {
    const setup = new Setup(2);
    setup.report("u0", { faultProbability: 0.84 });
    setup.report("u1", busy);
    setup.hasBudget = false;
    for (const idempotent of [true, false]) {
        const selected = setup.select(idempotent)._unsafeUnwrap();
        assert.deepEqual([selected.upstream.id, selected.redirectable], ["u1", false]);
    }
});

test("an upstream that fails is still used when there is no other, because part of its requests may succeed", () => {
    const setup = new Setup(1);
    setup.report("u0", { faultProbability: 0.99 });
    assert.equal(setup.select(false)._unsafeUnwrap().upstream.id, "u0");
});

test("idempotent work finds out whether an upstream works again while it has attempts and budget left", async () => {
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

test("an owner that is not heard gets no work while another one is, and a first attempt is made all the same", () => {
    const setup = new Setup(2);
    setup.silent.add("owner 0");
    assert.equal(setup.select(false)._unsafeUnwrap().upstream.id, "u1");
    setup.silent.add("owner 1");
    assert.equal(setup.select(false).isOk(), true);
});

test("a beacon that says that an upstream leaves is taken note of", () => {
    const setup = new Setup(1);
    setup.report("u0", { leaving: true });
    assert.deepEqual(setup.leaving, ["u0"]);
});
