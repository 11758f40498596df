import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import { encodeKey } from "./encode_key.ts";
import { KeyedOutcomeFilter } from "./keyed_outcome_filter.ts";

const identity = { ownerId: "d1", incarnation: "i1" };
const idempotencyKey = encodeKey({ ...identity, expiresAtMs: 1, nonce: "n" });

test("a refusal at the entry daemon is unknown for a request with a key, whose earlier copy may have been executed", async () => {
    const refusing = new KeyedOutcomeFilter({ apply: () => err(createFailure(Code.EntryOverloaded)) });
    for (const [key, outcome] of [[idempotencyKey, "unknown"], [undefined, "not-executed"]] as const) {
        assert.equal((await refusing.apply({ idempotencyKey: key }))._unsafeUnwrapErr().outcome, outcome);
    }
});

test("a refusal that the owner has recorded stays not-executed", async () => {
    const fields = { code: Code.KeyClosed, keyRecorded: true };
    const reply = buildOwnerReply(identity, { requestId: "r1", attempt: 1 }, fields);
    const filter = new KeyedOutcomeFilter({ apply: () => ok(reply) });
    assert.equal((await filter.apply({ idempotencyKey }))._unsafeUnwrap().outcome, Outcome.NotExecuted);
});
