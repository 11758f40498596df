import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { RevokeState } from "../forward/revoke_state.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import { UpstreamStateBuilder } from "../settle/upstream_state_builder.ts";
import { AttemptTable } from "./attempt_table.ts";
import { DeduplicationFilter } from "./deduplication_filter.ts";
import { encodeKey } from "./encode_key.ts";
import { OperationTable } from "./operation_table.ts";
import { OwnerRevoker } from "./owner_revoker.ts";

const identity = { ownerId: "d1", incarnation: "i2" };

/** Owner whose upstream runs each dispatched request; `hold` keeps requests in the queue. */
class Owner {
    runs = 0;
    state: DaemonState = DaemonState.Serving;
    hold: Promise<void> | undefined;
    failure: Failure | undefined;
    readonly time = new VirtualTime();
    readonly attempts = new AttemptTable();
    readonly operations = new OperationTable({ clock: this.time });
    readonly revoker = new OwnerRevoker({
        identity,
        attempts: this.attempts,
        operations: this.operations,
    });
    readonly register = new DeduplicationFilter({
        identity,
        attempts: this.attempts,
        operations: this.operations,
        daemonState: { getState: () => this.state },
        states: new UpstreamStateBuilder({
            queues: { getState: () => undefined },
            evidence: { record: () => undefined, getScore: () => 0 },
            daemonState: { getState: () => this.state },
        }),
        inner: { apply: request => this.run(request) },
    });

    buildKey(incarnation = "i2", expiresInMs = 60_000): string {
        return encodeKey({
            ownerId: "d1",
            incarnation,
            expiresAtMs: this.time.getWallMs() + expiresInMs,
            nonce: "n",
        });
    }

    async apply(fields: Partial<OwnerRequest> = {}): Promise<OwnerReply> {
        return (await this.register.apply(buildOwnerRequest(fields)))._unsafeUnwrap();
    }

    private async run(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        await this.hold;
        const failure = this.failure ?? this.attempts.recordDispatch(request).match(() => undefined, e => e);
        if (failure !== undefined) {
            return err(failure);
        }
        this.runs += 1;
        const answer = { status: 200, headers: [], body: Buffer.from(`receipt ${this.runs}`) };
        return ok(buildOwnerReply(identity, request, { code: Code.Ok, answer }));
    }
}

test("copies of a request with a key run once and get the same answer under their own identifiers", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    const running = ["r1", "r2"].map(requestId => owner.apply({ requestId, idempotencyKey }));
    const replies = [...await Promise.all(running), await owner.apply({ requestId: "r3", idempotencyKey })];
    assert.equal(owner.runs, 1);
    assert.deepEqual(replies.map(reply => reply.requestId), ["r1", "r2", "r3"]);
    assert.deepEqual(new Set(replies.map(reply => Buffer.from(reply.answer!.body).toString())).size, 1);
});

test("a key used for another body or by another organisation does not return the stored answer", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    await owner.apply({ idempotencyKey });
    for (const fields of [{ body: Buffer.from("pay 900") }, { organisation: "other" }]) {
        const reply = await owner.apply({ requestId: "r2", idempotencyKey, ...fields });
        assert.equal(reply.code, Code.KeyReusedForOtherRequest);
        assert.equal(reply.answer, undefined);
    }
    assert.equal(owner.runs, 1);
});

test("a key of an earlier incarnation or an expired key is not run, and its outcome is unknown", async () => {
    const owner = new Owner();
    for (const idempotencyKey of [owner.buildKey("i1"), owner.buildKey("i2", -1)]) {
        assert.equal((await owner.apply({ idempotencyKey })).outcome, Outcome.Unknown);
    }
    assert.equal(owner.runs, 0);
});

test("a refused key stays refused, so that a delayed copy cannot run after not-executed was reported", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    owner.failure = createFailure(Code.QueueFull);
    const refused = await owner.apply({ idempotencyKey });
    assert.deepEqual([refused.outcome, refused.keyRecorded], [Outcome.NotExecuted, true]);
    owner.failure = undefined;
    assert.equal((await owner.apply({ requestId: "r2", idempotencyKey })).outcome, Outcome.NotExecuted);
    assert.equal(owner.runs, 0);
});

test("a leaving owner replays recorded answers and closes new keys", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    await owner.apply({ idempotencyKey });
    owner.state = DaemonState.Draining;
    assert.equal((await owner.apply({ requestId: "r2", idempotencyKey })).outcome, Outcome.Executed);
    const refused = await owner.apply({ requestId: "r3", idempotencyKey: owner.buildKey("i2", 70_000) });
    assert.deepEqual([refused.code, refused.keyRecorded], [Code.OwnerLeaving, true]);
});

test("a revoked attempt without a key is refused before and after arrival", async () => {
    const owner = new Owner();
    const target = { requestId: "r1", attempt: 1, idempotencyKey: undefined, incarnation: "i2" };
    assert.equal(owner.revoker.revoke(target), RevokeState.Revoked);
    assert.equal((await owner.apply()).code, Code.Revoked);
    owner.hold = owner.time.run(0);
    const waiting = owner.apply({ requestId: "r2" });
    assert.equal(owner.revoker.revoke({ ...target, requestId: "r2" }), RevokeState.Revoked);
    assert.equal((await waiting).outcome, Outcome.NotExecuted);
    assert.equal(owner.runs, 0);
});

test("a dispatched, finished or repeated attempt is not reported as revoked and does not run again", async () => {
    const owner = new Owner();
    await owner.apply();
    const target = { requestId: "r1", attempt: 1, idempotencyKey: undefined, incarnation: "i2" };
    assert.equal(owner.revoker.revoke(target), RevokeState.Finished);
    assert.equal((await owner.apply()).code, Code.AttemptRepeated);
    assert.equal(owner.runs, 1);
});

test("an owner does not answer for an attempt that was sent to its earlier incarnation", async () => {
    const owner = new Owner();
    const target = { requestId: "r1", attempt: 1, idempotencyKey: undefined, incarnation: "i1" };
    assert.equal(owner.revoker.revoke(target), RevokeState.Unknown);
});

test("an attempt that the previous incarnation has revoked is not run by the next one", async () => {
    // The connection opened only after the previous incarnation had answered the revocation and ended.
    const owner = new Owner();
    const reply = await owner.apply({ ownerIncarnation: "i1" });
    assert.equal(reply.outcome, Outcome.NotExecuted);
    assert.equal(owner.runs, 0);
});

test("revoking a key that has not arrived yet closes it for all copies", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    const target = { requestId: "r1", attempt: 1, idempotencyKey, incarnation: "i2" };
    assert.equal(owner.revoker.revoke(target), RevokeState.Revoked);
    assert.equal((await owner.apply({ requestId: "r2", idempotencyKey })).code, Code.KeyClosed);
    assert.equal(owner.runs, 0);
});

test("a cancelled copy neither cancels the operation of another copy nor is answered with not-executed", async () => {
    const owner = new Owner();
    const idempotencyKey = owner.buildKey();
    owner.hold = owner.time.run(0);
    const first = owner.apply({ idempotencyKey });
    const target = { requestId: "r2", attempt: 1, idempotencyKey, incarnation: "i2" };
    assert.equal(owner.revoker.revoke(target), RevokeState.Unknown);
    assert.equal((await first).outcome, Outcome.Executed);
});
