import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { buildService } from "../../proof/operations/build_service.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { AttemptSequence } from "./attempt_sequence.ts";
import { buildOwnerReply } from "./build_owner_reply.ts";
import { HedgeVerdict } from "./hedge_verdict.ts";
import { NoHedgingPolicy } from "./no_hedging_policy.ts";

class PromptHedgingPolicy extends NoHedgingPolicy {
    override computeDelayMs(): number {
        return 10;
    }

    override take(): HedgeVerdict {
        return HedgeVerdict.Allowed;
    }
}

test("the refusal of a hedge neither ends the attempt that runs nor tells that nothing ran", async () => {
    const time = new VirtualTime();
    const service = buildService(true);
    const place = { service: "payments", failureDomain: "z", region: "r", ownerAddress: "", leaving: false };
    const upstreams = ["a", "b"].map(id => ({ id, ownerId: id, ...place }));
    const request = {
        ...buildOwnerRequest({ service, route: { ...service.routes[0]!, maxAttempts: 2 } }),
        host: "",
        path: "/",
        budgetMs: undefined,
        configVersion: 1,
    };
    const sequence = new AttemptSequence(request, {
        selector: {
            select: (routed, attempt, excluded) => {
                const upstream = upstreams.find(({ id }) => !excluded.has(id));
                return upstream === undefined
                    ? err(createFailure(Code.NoUpstream))
                    : ok({ ...routed, attempt, upstream, baselineMs: 0, trial: false });
            },
            recordStart: () => undefined,
            recordUnconfirmed: () => undefined,
            recordReply: () => undefined,
        },
        owners: { getIncarnation: () => undefined, list: () => [] },
        budget: {
            add: () => undefined,
            has: () => true,
            take: () => true,
            addRepeat: () => undefined,
            release: () => undefined,
        },
        hedging: new PromptHedgingPolicy(),
        clock: time,
        timers: time,
        forward: selected => {
            const code = selected.attempt === 1 ? Code.Ok : Code.OrganisationOverShare;
            const reply = buildOwnerReply({ ownerId: "o", incarnation: "i" }, selected, { code });
            return new Promise(resolve =>
                void time.start(selected.attempt === 1 ? 100 : 5, () => resolve(reply))
            );
        },
        revokeAfterHopFailure: (_, reply) => Promise.resolve(reply),
    });
    const reply = sequence.run();
    await time.run(200);
    assert.equal((await reply)._unsafeUnwrap().code, Code.Ok);
});
