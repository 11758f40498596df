import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { AdmitFilter } from "./admit_filter.ts";

function applyAdmit(parts: Partial<RoutedRequest>, inFlight = 0, saturated = "") {
    const services = new Map(
        [
            buildService({ name: "accounts", dependsOn: ["supply"] }),
            buildService({ name: "supply", dependsOn: ["accounts"] }),
        ]
            .map(service => [service.name, service] as const),
    );
    const admit = new AdmitFilter({
        clock: new VirtualTime(),
        config: {
            getActive: () => ({
                version: 1,
                digest: "",
                source: "",
                configuration: { team: "", services },
            }),
        },
        inFlight: { getInFlight: () => inFlight },
        saturation: { isSaturated: service => service === saturated },
        serviceTimes: { computeNeededMs: route => route.serviceMs },
    });
    const service = buildService({ dependsOn: ["accounts"], limits: { entryConcurrency: 2 } });
    const request = {
        ...buildOwnerRequest({ service }),
        host: "",
        path: "/",
        budgetMs: undefined,
        configVersion: 1,
    };
    return admit.apply({ ...request, ...parts });
}

test("the entry daemon refuses requests as not executed, before they fail down the call chain", () => {
    assert.equal(applyAdmit({}, 1)._unsafeUnwrap().deadlineMs, 1_000);
    const cases = [
        { result: applyAdmit({ deadlineMs: 49 }), code: Code.DeadlineExceeded },
        { result: applyAdmit({}, 2), code: Code.EntryOverloaded },
        { result: applyAdmit({}, 0, "accounts"), code: Code.DependencySaturated },
        { result: applyAdmit({}, 0, "supply"), code: Code.DependencySaturated },
        { result: applyAdmit({ signal: AbortSignal.abort() }), code: Code.CallerCancelled },
    ];
    for (const { result, code } of cases) {
        const failure = result._unsafeUnwrapErr();
        assert.deepEqual([failure.code, failure.outcome], [code, Outcome.NotExecuted]);
    }
});
