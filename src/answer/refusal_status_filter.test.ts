import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildService } from "../../proof/operations/build_service.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { RefusalStatusFilter } from "./refusal_status_filter.ts";

const identity = { ownerId: "d1", incarnation: "i1" };
const headers = [{ name: "x-signature", value: "s" }];

function buildRequest(idempotent: boolean): RoutedRequest {
    const service = buildService(idempotent);
    return {
        requestId: "r1",
        organisation: "",
        idempotencyKey: undefined,
        budgetMs: undefined,
        headers: [],
        method: "POST",
        host: "",
        path: "/payments",
        target: "/payments",
        body: new Uint8Array(),
        receivedAtMs: 0,
        signal: new AbortController().signal,
        service,
        route: service.routes[0]!,
        deadlineMs: 1_000,
        configVersion: 1,
    };
}

/** The reply that the filter returns, and what it counted. */
async function run(idempotent: boolean, outcome: Outcome, status: number) {
    const counts: unknown[] = [];
    const reply = buildOwnerReply(identity, { requestId: "r1", attempt: 1 }, {
        code: outcome === Outcome.Executed ? Code.Ok : Code.UpstreamUnexpected,
        outcome,
        answer: { status, headers, body: Buffer.from("a") },
    });
    const filter = new RefusalStatusFilter({
        metrics: {
            addCount: (name, tags) => void counts.push(name, tags?.["status"]),
            setGauge: () => undefined,
            recordTime: () => undefined,
        },
        refusalStatuses: new Set([429, 503]),
        inner: { apply: () => ok(reply) },
    });
    return { before: reply, counts, result: (await filter.apply(buildRequest(idempotent)))._unsafeUnwrap() };
}

// An upstream ran payments and answered 503; the callers took it for a promise and paid again.
test("a status that promises that nothing has run is withheld from the caller of a payment that may have run", async () => {
    for (const outcome of [Outcome.Unknown, Outcome.Executed]) {
        for (const status of [429, 503]) {
            const { counts, result } = await run(false, outcome, status);
            assert.deepEqual([result.answer, result.code, result.outcome], [
                undefined,
                Code.UpstreamUnexpected,
                outcome,
            ]);
            assert.match(result.detail, new RegExp(`status ${status}`), "the status can be found in the log");
            assert.deepEqual(counts, ["caller.answer_withheld", `${status}`]);
        }
    }
});

test("all other answers pass unchanged", async () => {
    const kept = [
        [false, Outcome.Unknown, 500],
        [false, Outcome.Unknown, 404],
        [false, Outcome.Executed, 200],
        [false, Outcome.NotExecuted, 503],
        [true, Outcome.Unknown, 503],
        [true, Outcome.Executed, 429],
    ] as const;
    for (const [idempotent, outcome, status] of kept) {
        const { before, counts, result } = await run(idempotent, outcome, status);
        assert.equal(result, before, `${status}, ${outcome}, idempotent ${idempotent}`);
        assert.deepEqual(counts, []);
    }
});
