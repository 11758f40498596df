import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { Organisation } from "../config/organisation.ts";
import { Code } from "../core/code.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { AuthenticateFilter } from "./authenticate_filter.ts";
import { KeyAuthenticator } from "./key_authenticator.ts";
import { RevocationGuard } from "./revocation_guard.ts";
import { RunTable } from "./run_table.ts";

const organisation: Organisation = {
    name: "choir",
    keys: ["k1", "k2"],
    requestsPerSecond: 10,
    burst: 5,
    priority: 1,
};

interface Deployment {
    readonly hasKeys?: boolean;
    readonly isStrict?: boolean;
    /** Age of the proof of the configuration in milliseconds. */
    readonly proofAgeMs?: number;
}

function openFilter({ hasKeys = true, isStrict = true, proofAgeMs = 0 }: Deployment = {}) {
    const runs = new RunTable();
    const organisations = new Map([[organisation.name, organisation]]);
    const configuration = { team: "", services: new Map(), ...hasKeys ? { organisations } : {} };
    const clock = new VirtualTime();
    const guard = new RevocationGuard({
        proof: { getProvedMs: () => clock.getMonotonicMs() - proofAgeMs },
        getBounds: () => ({ isStrict, maxAgeMs: 5_000, applyMs: 2_500 }),
    });
    const authenticator = new KeyAuthenticator({
        config: { getActive: () => ({ version: 1, digest: "", source: "", configuration }) },
        runs,
        guard,
    });
    const filter = new AuthenticateFilter({
        authenticator,
        getRetryAfterMs: () => guard.getRetryAfterMs(),
        clock,
        metrics: { addCount: () => undefined, recordTime: () => undefined, setGauge: () => undefined },
    });
    const apply = (fields: Partial<RoutedRequest>) =>
        filter.apply({
            ...buildOwnerRequest(),
            host: "",
            path: "/",
            budgetMs: undefined,
            configVersion: 1,
            organisation: "forged",
            ...fields,
        });
    return { apply, runs };
}

test("each key of an organisation names it, whatever the caller claims, and goes no further", () => {
    const { apply } = openFilter();
    for (const credential of organisation.keys) {
        const request = apply({ credential })._unsafeUnwrap();
        assert.equal(request.organisation, "choir");
        assert.equal(request.organisationConfig, organisation);
        assert.ok(!JSON.stringify({ ...request, organisationConfig: undefined }).includes(credential));
    }
});

test("the priority of an organisation goes before that of the route", () => {
    const { apply } = openFilter();
    const { route } = buildOwnerRequest();
    const getPriority = (priority: number) =>
        apply({ credential: "k1", route: { ...route, priority } })._unsafeUnwrap().route.priority;
    const lessUrgent = getPriority(Number.MAX_SAFE_INTEGER);
    assert.ok(getPriority(0) < getPriority(2) && getPriority(2) < lessUrgent && lessUrgent < 200);
});

test("a request without a key or with an unknown one runs on no route that needs one", () => {
    const { apply } = openFilter();
    for (const credential of [undefined, "", "k", "k11", "K1"]) {
        assert.equal(apply({ credential })._unsafeUnwrapErr().code, Code.UnknownCredential);
    }
});

test("a public route and a deployment without organisations need no key", () => {
    const { route } = buildOwnerRequest();
    assert.ok(openFilter().apply({ route: { ...route, public: true } }).isOk());
    const request = openFilter({ hasKeys: false }).apply({})._unsafeUnwrap();
    assert.equal(request.organisation, "forged", "the product's own callers name their organisation");
});

test("a call belongs to the organisation of the run that makes it, until the run ends", () => {
    const { apply, runs } = openFilter();
    runs.add("p1", "choir");
    runs.add("p1", "choir");
    runs.remove("p1");
    const call = apply({ parentRequestId: "p1" })._unsafeUnwrap();
    assert.deepEqual([call.organisation, call.isCall], ["choir", true]);
    runs.remove("p1");
    assert.equal(apply({ parentRequestId: "p1" })._unsafeUnwrapErr().code, Code.CredentialUnproved);
});

test("a configuration that cannot be proved runs no request with a key and calls no key unknown", () => {
    const stale = openFilter({ proofAgeMs: 5_001 });
    assert.equal(stale.apply({ credential: "k1" })._unsafeUnwrapErr().code, Code.CredentialUnproved);
    assert.equal(stale.apply({ credential: "new" })._unsafeUnwrapErr().code, Code.CredentialUnproved);
    const lagging = openFilter({ proofAgeMs: 3_000 });
    assert.ok(lagging.apply({ credential: "k1" }).isOk());
    assert.equal(lagging.apply({ credential: "new" })._unsafeUnwrapErr().code, Code.CredentialUnproved);
    const lenient = openFilter({ isStrict: false, proofAgeMs: 60_000 });
    assert.ok(lenient.apply({ credential: "k1" }).isOk());
    assert.equal(lenient.apply({ credential: "new" })._unsafeUnwrapErr().code, Code.UnknownCredential);
});
