import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { createTestMemoryGuard } from "../../../proof/fakes/create_test_memory_guard.ts";
import { VirtualTime } from "../../../proof/fakes/virtual_time.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import { CallerBody } from "./caller_body.ts";

function createRequest(): IncomingMessage {
    const message = { headers: { "content-length": "100000" }, pause: () => message, resume: () => message };
    return message as unknown as IncomingMessage;
}

test("room that is found for a body after its exchange has ended is returned, so that the account does not shrink", async () => {
    const time = new VirtualTime();
    const memory = createTestMemoryGuard(time);
    const filler = memory.addCharge(MemoryHolder.RequestBody, 10_000_000_000);
    const { signal } = new AbortController();
    const body = new CallerBody({
        request: createRequest(),
        memory,
        maxBytes: 1_000_000,
        signal,
        hasOtherRequests: () => false,
    });
    const read = body.read();
    assert.equal(memory.countWaiting(), 1);
    // The end of an earlier pipelined request returns its charge before this exchange ends.
    filler.close();
    body.release();
    await time.run(1);
    assert.ok((await read).isErr());
    assert.equal(memory.getChargedBytes(), 0);
});

test("a body is not closed for memory while another request of its connection runs, which would lose that answer", async () => {
    const memory = createTestMemoryGuard();
    const connection = { hasOther: true };
    const body = new CallerBody({
        request: Object.assign(createRequest(), {
            iterator: () => ({
                [Symbol.asyncIterator]: () => ({ next: () => new Promise(() => undefined) }),
            }),
        }),
        memory,
        maxBytes: 1_000_000,
        signal: new AbortController().signal,
        hasOtherRequests: () => connection.hasOther,
    });
    void body.read();
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(body.getHeldBytes(), 0);
    connection.hasOther = false;
    assert.equal(body.getHeldBytes(), 100_000);
    body.release();
    assert.equal(memory.getChargedBytes(), 0);
});
