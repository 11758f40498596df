import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import { HeaderCallerCodec } from "../receive/header_caller_codec.ts";
import { AnswerFilter } from "./answer_filter.ts";
import { formatProblem } from "./format_problem.ts";

const identity = { ownerId: "daemon-1", incarnation: "i" };
const attempt = { requestId: "r1", attempt: 1 };

test("an answer carries the identifier of the caller's request, not one that the upstream chose", () => {
    const headers = [{ name: "x-request-id", value: "upstream's" }];
    const answer = { status: 200, headers, body: new Uint8Array() };
    const result = new AnswerFilter(new HeaderCallerCodec()).apply(
        buildOwnerReply(identity, attempt, { code: Code.Ok, answer }),
    );
    const identifiers = result._unsafeUnwrap().headers.filter(header => header.name === "x-request-id");
    assert.deepEqual(identifiers, [{ name: "x-request-id", value: "r1" }]);
});

test("a reply without an answer keeps its own outcome, which may differ from that of the code table", () => {
    const reply = buildOwnerReply(identity, attempt, {
        code: Code.DeadlineExceeded,
        outcome: Outcome.NotExecuted,
    });
    assert.equal(
        new AnswerFilter(new HeaderCallerCodec()).apply(reply)._unsafeUnwrapErr().outcome,
        Outcome.NotExecuted,
    );
});

test("a problem document states code and outcome in the body and in headers", () => {
    const problem = formatProblem(createFailure(Code.QueueFull), "r1");
    const body = JSON.parse(Buffer.from(problem.body).toString()) as Record<string, unknown>;
    assert.equal(problem.status, 503);
    assert.equal(body["code"], Code.QueueFull);
    assert.equal(body["outcome"], Outcome.NotExecuted);
    assert.ok(
        problem.headers.some(({ name, value }) =>
            name === "zinniaglade-code" && value === `${Code.QueueFull}`
        ),
    );
    assert.ok(problem.headers.some(({ name }) => name === "retry-after"));
});
