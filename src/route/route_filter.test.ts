import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ActiveConfig } from "../config/active_config.ts";
import { parseConfiguration } from "../config/parse_configuration.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import { RouteFilter } from "./route_filter.ts";

const source = readFileSync(new URL("../../demo/authority.yaml", import.meta.url), "utf8");
const configuration = parseConfiguration(source)._unsafeUnwrap();
const active: ActiveConfig = { version: 7, digest: "", configuration, source };

function createRequest(fields: Partial<CallerRequest>): CallerRequest {
    return {
        requestId: "r1",
        method: "GET",
        host: "",
        path: "/outages",
        target: "/outages",
        headers: [],
        body: new Uint8Array(),
        organisation: "o1",
        idempotencyKey: undefined,
        budgetMs: undefined,
        receivedAtMs: 0,
        signal: new AbortController().signal,
        ...fields,
    };
}

test("without a configuration a request is refused as not ready", () => {
    const filter = new RouteFilter({
        config: { getActive: () => undefined },
        clock: new VirtualTime(),
        random: new SeededRandom(1),
    });
    assert.equal(filter.apply(createRequest({}))._unsafeUnwrapErr().code, Code.NotReady);
});

test("the deadline counts from the receipt and uses the smaller of budget and route limit", async () => {
    const time = new VirtualTime();
    await time.run(100);
    const filter = new RouteFilter({
        config: { getActive: () => active },
        clock: time,
        random: new SeededRandom(1),
    });
    const routed = filter.apply(createRequest({ receivedAtMs: 90 }))._unsafeUnwrap();
    assert.deepEqual([routed.route.name, routed.service.name, routed.configVersion], [
        "listOutages",
        "supply",
        7,
    ]);
    assert.equal(routed.deadlineMs, 2_090);
    const shortBudget = filter.apply(createRequest({ receivedAtMs: 90, budgetMs: 300 }))._unsafeUnwrap();
    assert.equal(shortBudget.deadlineMs, 390);
    const longBudget = filter.apply(createRequest({ receivedAtMs: 90, budgetMs: 9_000 }))._unsafeUnwrap();
    assert.equal(longBudget.deadlineMs, 2_090);
});

test("a request whose deadline passed before routing is reported as not executed", async () => {
    const time = new VirtualTime();
    await time.run(50);
    const filter = new RouteFilter({
        config: { getActive: () => active },
        clock: time,
        random: new SeededRandom(1),
    });
    const failure = filter.apply(createRequest({ receivedAtMs: 0, budgetMs: 50 }))._unsafeUnwrapErr();
    assert.deepEqual([failure.code, failure.outcome], [Code.DeadlineExceeded, Outcome.NotExecuted]);
});

test("a body above the limit of its route is refused", () => {
    const filter = new RouteFilter({
        config: { getActive: () => active },
        clock: new VirtualTime(),
        random: new SeededRandom(1),
    });
    const body = new Uint8Array(16_385);
    const failure = filter.apply(createRequest({ method: "POST", path: "/payments", body }))
        ._unsafeUnwrapErr();
    assert.equal(failure.code, Code.RequestTooLarge);
});

test("a new configuration takes effect with the next request", () => {
    let current = active;
    const filter = new RouteFilter({
        config: { getActive: () => current },
        clock: new VirtualTime(),
        random: new SeededRandom(1),
    });
    assert.ok(filter.apply(createRequest({})).isOk());
    current = { ...active, version: 8, configuration: { ...configuration, services: new Map() } };
    assert.equal(filter.apply(createRequest({}))._unsafeUnwrapErr().code, Code.NoRoute);
});
