import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory } from "../check_history.ts";
import { EventKind } from "../event_kind.ts";
import { GracefulStopPredicate } from "../predicates/graceful_stop_predicate.ts";
import { LeavingPredicate } from "../predicates/leaving_predicate.ts";
import { DrainFleet } from "./fakes/drain_fleet.ts";
import { NoRequestCountLifecycle } from "./fakes/no_request_count_lifecycle.ts";

const predicates = [new LeavingPredicate(5_000), new GracefulStopPredicate()];
const seeds = Array.from({ length: Number(process.env["PROOF_SEEDS"] ?? 3) }, (_, index) => index + 1);

async function listViolations(
    options: ConstructorParameters<typeof DrainFleet>[0],
): Promise<readonly string[]> {
    const history = await new DrainFleet(options).run(60_000);
    // Without requests and leaving upstreams, the predicates would check nothing.
    assert.ok(history.filter(event => event.kind === EventKind.UpstreamStarted).length > 1_000);
    assert.ok(history.filter(event => event.kind === EventKind.UpstreamLeaving).length >= 3);
    return checkHistory(history, predicates).map(({ predicate, message }) => `${predicate}: ${message}`);
}

for (const seed of seeds) {
    test(`leaving upstreams get no requests after 5 s and graceful stops interrupt none, seed ${seed}`, async () => {
        assert.deepEqual(await listViolations({ seed }), []);
        assert.deepEqual(await listViolations({ seed, cuts: true }), []);
    });

    test(`refusal by the owner alone keeps requests away from a leaving upstream, seed ${seed}`, async () => {
        assert.deepEqual(await listViolations({ seed, mutation: { dropsNotices: true } }), []);
    });

    test(`leaving notices alone keep requests away from a leaving upstream, seed ${seed}`, async () => {
        assert.deepEqual(await listViolations({ seed, mutation: { acceptsWhileLeaving: true } }), []);
    });
}

for (
    const [name, predicate, mutation] of [
        ["an owner that accepts requests while it leaves, without notices", "leaving", {
            acceptsWhileLeaving: true,
            dropsNotices: true,
        }],
        ["a drain that does not wait for requests in flight", "graceful-stop", {
            createLifecycle: options => new NoRequestCountLifecycle({ ...options, graceMs: 0 }),
        }],
        ["a drain that does not answer queued requests", "graceful-stop", { dropsQueue: true }],
    ] satisfies readonly [string, string, ConstructorParameters<typeof DrainFleet>[0]["mutation"]][]
) {
    test(`the predicates detect ${name}`, async () => {
        const violations: string[] = [];
        for (let seed = 1; seed <= 4 && violations.length === 0; seed++) {
            const found = await listViolations({ seed, mutation });
            violations.push(...found.filter(violation => violation.startsWith(predicate)));
        }
        assert.notEqual(violations.length, 0);
    });
}
