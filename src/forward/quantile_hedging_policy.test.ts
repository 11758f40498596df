import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { buildService } from "../../proof/operations/build_service.ts";
import type { RouteConfig } from "../config/route_config.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { AnswerTimeTable } from "./answer_time_table.ts";
import { HedgeVerdict } from "./hedge_verdict.ts";
import { QuantileHedgingPolicy } from "./quantile_hedging_policy.ts";

function buildRequest(idempotent: boolean, fields: Partial<RouteConfig> = {}): RoutedRequest {
    const service = buildService(idempotent);
    const route = { ...service.routes[0]!, ...fields };
    return {
        ...buildOwnerRequest(),
        host: "",
        path: "/",
        budgetMs: undefined,
        configVersion: 1,
        service,
        route,
    };
}

function createPolicy({ load = 0, retries = Infinity, percent = 10 } = {}) {
    const taken = { count: 0 };
    const budget = {
        add: () => undefined,
        has: () => taken.count < retries,
        take: () => taken.count < retries && (taken.count += 1) > 0,
        addRepeat: () => undefined,
        release: () => void (taken.count -= 1),
    };
    const policy = new QuantileHedgingPolicy({ percent, budget, loads: { measureLoad: () => load } });
    return { policy, taken };
}

const read = buildRequest(true);

test("work that may not be repeated is never hedged, whatever else allows it", () => {
    const { policy, taken } = createPolicy({ percent: 100 });
    const payment = buildRequest(false, { targetMs: 100 });
    policy.add(payment, 0);
    assert.equal(policy.computeDelayMs(payment, "u1", 0), undefined);
    assert.equal(policy.take(payment, 0), HedgeVerdict.NotRepeatable);
    assert.equal(taken.count, 0);
});

test("hedges stay within their share of the requests of the window, however many are due", () => {
    const { policy } = createPolicy();
    const verdicts = [];
    for (let index = 0; index < 100; index += 1) {
        policy.add(read, 0);
        verdicts.push(policy.take(read, 0));
    }
    assert.equal(verdicts.filter(verdict => verdict === HedgeVerdict.Allowed).length, 10);
    assert.ok(verdicts.every(verdict => verdict === HedgeVerdict.Allowed || verdict === HedgeVerdict.Share));
    policy.release(read, 0);
    assert.equal(
        policy.take(read, 0),
        HedgeVerdict.Allowed,
        "a hedge that reached no upstream is not counted",
    );
    // The requests of a past window allow no hedges.
    policy.add(read, 40_000);
    assert.equal(policy.take(read, 40_000), HedgeVerdict.Share);
});

test("a service short of slots and a spent retry budget refuse a hedge, which is then not counted", () => {
    const busy = createPolicy({ load: 0.9, percent: 100 });
    busy.policy.add(read, 0);
    assert.equal(busy.policy.take(read, 0), HedgeVerdict.Slots);
    assert.equal(busy.taken.count, 0);
    const spent = createPolicy({ retries: 0, percent: 100 });
    spent.policy.add(read, 0);
    assert.equal(spent.policy.take(read, 0), HedgeVerdict.RetryBudget);
});

test("the delay falls back from the upstream to the route to the target, so that no hedge is sent by chance", () => {
    const { policy } = createPolicy();
    const targeted = buildRequest(true, { targetMs: 500 });
    assert.equal(policy.computeDelayMs(read, "u1", 0), undefined);
    assert.equal(policy.computeDelayMs(targeted, "u1", 0), 300);
    for (let index = 0; index < 30; index += 1) {
        policy.recordAnswer(read, "u1", 20, 0);
        policy.recordAnswer(read, `u${index + 2}`, 100, 0);
    }
    const routeMs = policy.computeDelayMs(read, "u2", 0)!;
    const upstreamMs = policy.computeDelayMs(read, "u1", 0)!;
    assert.ok(routeMs > 99 && routeMs < 110, `${routeMs}`);
    assert.ok(upstreamMs > 19 && upstreamMs < 22, `${upstreamMs}`);
    // 500 ms less the time that a second attempt needs.
    const targetedMs = policy.computeDelayMs(targeted, "u1", 0)!;
    assert.ok(targetedMs > 390 && targetedMs < 401, `${targetedMs}`);
});

test("the memory of answer times does not grow with the routes and upstreams that exist", () => {
    const table = new AnswerTimeTable();
    for (let index = 0; index < 3_000; index += 1) {
        table.register(`route ${index % 1_500}`, 0).addAnswer(5, 0);
    }
    assert.equal(table.count(), 512);
});
