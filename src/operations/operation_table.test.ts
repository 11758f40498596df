import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import { defaultOperationLimits } from "./default_operation_limits.ts";
import { OperationTable } from "./operation_table.ts";
import { RunningAttempt } from "./running_attempt.ts";

const identity = { ownerId: "d1", incarnation: "i1" };

class Fixture {
    readonly time = new VirtualTime();
    /** Milliseconds by which the wall clock has stepped. */
    offsetMs = 0;
    readonly table: OperationTable;

    constructor(limits: Partial<typeof defaultOperationLimits> = {}) {
        const getWallMs = () => this.time.getWallMs() + this.offsetMs;
        const clock = { getMonotonicMs: () => this.time.getMonotonicMs(), getWallMs };
        this.table = new OperationTable({ clock, limits: { ...defaultOperationLimits, ...limits } });
    }

    add(text: string, expiresInMs = 5_000) {
        const id = { requestId: text, attempt: 1 };
        return this.table.add(text, {
            key: this.buildKey(expiresInMs),
            fingerprint: "f",
            id,
            attempt: new RunningAttempt(),
        });
    }

    recordEnd(text: string, bytes = 10): void {
        const answer = { status: 200, headers: [], body: Buffer.alloc(bytes) };
        const reply = buildOwnerReply(identity, { requestId: text, attempt: 1 }, { code: Code.Ok, answer });
        this.table.recordEnd(this.table.find(text)!, reply);
    }

    buildKey(expiresInMs = 5_000) {
        return { ...identity, expiresAtMs: this.time.getWallMs() + expiresInMs, nonce: "n" };
    }
}

test("a purged key is not run again after the wall clock steps back", async () => {
    const fixture = new Fixture();
    fixture.add("a")._unsafeUnwrap();
    fixture.recordEnd("a");
    const key = fixture.buildKey();
    await fixture.time.run(7_000);
    fixture.add("b")._unsafeUnwrap();
    assert.equal(fixture.table.find("a"), undefined);
    fixture.offsetMs = -7_000;
    const again = {
        key,
        fingerprint: "f",
        id: { requestId: "r", attempt: 1 },
        attempt: new RunningAttempt(),
    };
    assert.equal(fixture.table.add("a", again)._unsafeUnwrapErr().code, Code.KeyExpired);
});

test("the record of a running operation outlives its key", async () => {
    const fixture = new Fixture();
    fixture.add("a")._unsafeUnwrap();
    await fixture.time.run(7_000);
    fixture.add("b")._unsafeUnwrap();
    assert.notEqual(fixture.table.find("a"), undefined);
    fixture.recordEnd("a");
    await fixture.time.run(2_000);
    fixture.add("c")._unsafeUnwrap();
    assert.equal(fixture.table.find("a"), undefined);
});

test("a key that expires too far ahead is not run, because its record would have to be kept too long", () => {
    assert.equal(new Fixture().add("a", 600_001)._unsafeUnwrapErr().outcome, Outcome.Unknown);
});

test("a full table refuses new keys, as not-executed only while it can record the refusal", () => {
    const fixture = new Fixture({ records: 1, closedRecords: 1 });
    fixture.add("a")._unsafeUnwrap();
    assert.equal(fixture.add("b")._unsafeUnwrapErr().code, Code.OperationTableFull);
    const reply = buildOwnerReply(identity, { requestId: "b", attempt: 1 }, { code: Code.KeyClosed });
    assert.equal(fixture.table.close("b", fixture.buildKey(), reply).isOk(), true);
    const full = fixture.table.close("c", fixture.buildKey(), reply)._unsafeUnwrapErr();
    assert.equal(full.outcome, Outcome.Unknown);
});

test("kept answers stay within the limit in bytes, and operations whose answer was removed stay executed", () => {
    const fixture = new Fixture({ totalBytes: 25, answerBytes: 15 });
    for (const [text, bytes] of [["large", 16], ["a", 10], ["b", 10], ["c", 10]] as const) {
        fixture.add(text)._unsafeUnwrap();
        fixture.recordEnd(text, bytes);
    }
    const replies = ["large", "a", "b", "c"].map(text => fixture.table.find(text)!.getReply()!);
    assert.deepEqual(replies.map(({ code }) => code), [2017, 2017, 0, 0]);
    assert.ok(replies.every(({ outcome }) => outcome === Outcome.Executed));
});
