import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { DispatchedRequest } from "../dispatch/dispatched_request.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import { SettleFilter } from "./settle_filter.ts";
import { UpstreamStateBuilder } from "./upstream_state_builder.ts";

function run(kind: UpstreamResultKind | undefined, status?: number, type = "application/json") {
    const observed: DispatchedRequest[] = [];
    const closed: unknown[][] = [];
    const filter = new SettleFilter({
        identity: { ownerId: "d1", incarnation: "i1" },
        observer: { start: () => undefined, record: entry => void observed.push(entry) },
        states: new UpstreamStateBuilder({
            queues: { getState: () => undefined },
            evidence: { record: () => undefined, getScore: () => 0 },
            daemonState: { getState: () => DaemonState.Serving },
        }),
    });
    const request = buildOwnerRequest();
    const headers = [{ name: "content-type", value: type }];
    const answer = status === undefined ? undefined : { status, headers, body: Buffer.from("{}") };
    const dispatched: DispatchedRequest = {
        ...request,
        route: { ...request.route, expect: { statuses: [200], contentType: "application/json" } },
        permit: { close: (...args) => void closed.push(args) },
        waitMs: 1,
        result: kind === undefined ? undefined : { kind, answer, detail: "" },
        refusal: kind === undefined ? createFailure(Code.Revoked) : undefined,
        serviceMs: 20,
    };
    const { code, outcome } = filter.apply(dispatched)._unsafeUnwrap();
    return { code, outcome, closed, observed };
}

const { Answered, NotSent, Cut, TimedOut, AnswerTooLarge, Cancelled } = UpstreamResultKind;
const { Executed, NotExecuted, Unknown } = Outcome;

test("the outcome is not-executed only if the request was not sent, was shed or was refused", () => {
    assert.equal(run(NotSent).outcome, NotExecuted);
    assert.equal(run(Answered, 503).outcome, NotExecuted);
    assert.equal(run(undefined).outcome, NotExecuted);
    for (const kind of [Cut, TimedOut, AnswerTooLarge]) {
        assert.equal(run(kind).outcome, Unknown);
    }
    assert.equal(run(Answered, 500).outcome, Unknown);
});

test("an answer counts as executed when status and media type are those that the route expects", () => {
    assert.equal(run(Answered, 200, "Application/JSON; charset=utf-8").outcome, Executed);
    assert.equal(run(Answered, 200, "text/html").code, Code.UpstreamUnexpected);
});

test("the slot is released in every case, with a service time only when something was sent", () => {
    assert.deepEqual(run(undefined).closed, [[undefined]]);
    assert.deepEqual(run(NotSent).closed, [[undefined, false]]);
    assert.deepEqual([run(Cut).closed, run(Answered, 503).closed], [[[20, false]], [[20, true]]]);
});

test("every attempt is reported to the observer, which otherwise counts it as still running", () => {
    assert.deepEqual([undefined, Cut, Cancelled].map(kind => run(kind).observed.length), [1, 1, 1]);
});
