import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { SuspectedUpstreamFilter } from "./suspected_upstream_filter.ts";
import { suspicionLimits } from "./suspicion_limits.ts";

class Setup {
    readonly time = new VirtualTime();
    probability = 0;
    private readonly filter = new SuspectedUpstreamFilter({
        clock: this.time,
        faults: { getFaultProbability: () => this.probability },
    });

    /** Code of the refusal; undefined when the request is let through. */
    apply(idempotent: boolean, redirectable = true): Code | undefined {
        const service = buildService({ routes: [{ idempotent }] });
        const faultLimit = idempotent ? suspicionLimits.idempotentLimit : suspicionLimits.nonIdempotentLimit;
        const result = this.filter.apply(buildOwnerRequest({ service, faultLimit, redirectable }));
        return result.isOk() ? undefined : result.error.code;
    }
}

test("a suspected upstream gets at most one trial request in each interval", async () => {
    const setup = new Setup();
    for (
        const { idempotent, probability } of [
            { idempotent: true, probability: 0.8 },
            { idempotent: false, probability: 0.6 },
        ]
    ) {
        setup.probability = probability;
        assert.equal(setup.apply(idempotent), undefined);
        assert.equal(setup.apply(idempotent), Code.UpstreamSuspected);
        await setup.time.run(suspicionLimits.trialIntervalMs);
        assert.equal(setup.apply(idempotent, false), Code.UpstreamSuspected);
        assert.equal(setup.apply(idempotent), undefined);
        await setup.time.run(suspicionLimits.trialIntervalMs);
    }
});

test("an upstream that has just failed gets no trial request at once", () => {
    const setup = new Setup();
    setup.probability = 0.81;
    assert.equal(setup.apply(true), Code.UpstreamSuspected);
    setup.probability = 0.61;
    assert.equal(setup.apply(false), Code.UpstreamSuspected);
});

test("non-idempotent requests may be trial requests below the limit of idempotent ones", () => {
    const setup = new Setup();
    setup.probability = 0.5;
    assert.equal(setup.apply(false), undefined);
});
