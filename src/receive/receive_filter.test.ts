import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import type { MessageHeader } from "../core/message_header.ts";
import { Outcome } from "../core/outcome.ts";
import { encodeKey } from "../operations/encode_key.ts";
import { HeaderCallerCodec } from "./header_caller_codec.ts";
import { ReceiveFilter } from "./receive_filter.ts";

const filter = new ReceiveFilter({
    clock: new VirtualTime(),
    random: new SeededRandom(1),
    codec: new HeaderCallerCodec(),
});

function applyHeaders(...headers: MessageHeader[]) {
    const signal = new AbortController().signal;
    return filter.apply({
        method: "GET",
        host: "",
        target: "/a/b?c=1",
        headers,
        body: new Uint8Array(),
        signal,
    });
}

test("budget, organisation and key are read from headers, and consumed headers are not forwarded", () => {
    const request = applyHeaders(
        { name: "connect-timeout-ms", value: "250" },
        { name: "idempotency-key", value: "k" },
        { name: "x-organisation-id", value: "o" },
    )._unsafeUnwrap();
    assert.equal(request.budgetMs, 250);
    assert.equal(request.idempotencyKey, "k");
    assert.equal(request.organisation, "o");
    assert.equal(request.path, "/a/b");
    assert.deepEqual(request.headers.map(header => header.name), ["x-organisation-id"]);
});

test("requests with the same x-request-id get different identifiers, so that no replies are mixed up", () => {
    const header = { name: "x-request-id", value: "same" };
    const first = applyHeaders(header)._unsafeUnwrap();
    const second = applyHeaders(header)._unsafeUnwrap();
    assert.notEqual(first.requestId, second.requestId);
    assert.match(first.requestId, /^[0-9a-f]{32}$/);
});

test("a malformed time budget is refused instead of being ignored", () => {
    for (const value of ["0", "-1", "1.5", "soon", "99999999999"]) {
        const result = applyHeaders({ name: "connect-timeout-ms", value });
        assert.equal(result._unsafeUnwrapErr().code, Code.BadRequestHeader);
    }
});

test("a request with a key and a malformed header has unknown outcome, as a copy may have run", () => {
    const budget = { name: "connect-timeout-ms", value: "0" };
    const outcomes = [[budget], [budget, { name: "idempotency-key", value: "k" }]].map(headers =>
        applyHeaders(...headers)._unsafeUnwrapErr().outcome
    );
    assert.deepEqual(outcomes, [Outcome.NotExecuted, Outcome.Unknown]);
});

test("a key of an owner with a long identifier is accepted", () => {
    const owner = { ownerId: "d".repeat(128), incarnation: "0123456789abcdef0123" };
    const value = encodeKey({ ...owner, expiresAtMs: 1_700_000_000_000, nonce: "n".repeat(31) });
    assert.ok(applyHeaders({ name: "idempotency-key", value }).isOk());
});
