import assert from "node:assert/strict";
import { test } from "node:test";
import { UsageCapFleet } from "../../proof/usage_cap/usage_cap_fleet.ts";
import type { Organisation } from "../config/organisation.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import type { RoutedRequest } from "../route/routed_request.ts";

const organisation: Organisation = {
    name: "organisation-1",
    keys: [],
    requestsPerSecond: 1,
    burst: 1,
    priority: undefined,
};

function createRequest(fields: Partial<RoutedRequest>): RoutedRequest {
    const { signal } = new AbortController();
    return { requestId: "r1", deadlineMs: 60_000, signal, ...fields } as RoutedRequest;
}

async function createFleet(): Promise<UsageCapFleet> {
    const fleet = new UsageCapFleet({ daemons: 2, seed: 1, organisation });
    await fleet.time.run(6_000);
    return fleet;
}

test("a request above the cap is refused before it runs, and told when to return", async () => {
    const fleet = await createFleet();
    const results = Array.from(
        { length: 60 },
        async () => fleet.daemons[0]!.filter.apply(createRequest({ organisationConfig: organisation })),
    );
    await fleet.time.run(1_000);
    const failures = (await Promise.all(results)).flatMap(result => result.isErr() ? [result.error] : []);
    fleet.close();
    assert.ok(failures.length > 30);
    assert.ok(
        failures.every(({ code, outcome }) => code === Code.OverUsageCap && outcome === Outcome.NotExecuted),
    );
    const times = failures.map(({ retryAfterMs }) => retryAfterMs ?? 0);
    assert.ok(Math.min(...times) > 0);
    assert.ok(new Set(times).size > failures.length / 2, "callers would return together");
});

test("calls of runs and requests without an organisation are not counted", async () => {
    const fleet = await createFleet();
    for (let sent = 0; sent < 60; sent += 1) {
        for (const fields of [{ organisationConfig: organisation, isCall: true }, {}]) {
            const result = await fleet.daemons[0]!.filter.apply(createRequest(fields));
            assert.ok(result.isOk());
        }
    }
    fleet.close();
});

// A caller that has left must not use up a cap that others wait for.
test("a request whose caller leaves while it waits is not counted", async () => {
    const fleet = await createFleet();
    const controller = new AbortController();
    const { filter } = fleet.daemons[0]!;
    const before = Array.from(
        { length: 60 },
        async () =>
            filter.apply(createRequest({ organisationConfig: organisation, signal: controller.signal })),
    );
    controller.abort();
    await fleet.time.run(1_000);
    const codes = (await Promise.all(before)).map(result => result.isErr() ? result.error.code : Code.Ok);
    fleet.close();
    assert.ok(codes.filter(code => code === Code.CallerCancelled).length > 30);
});
