import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestDeadline } from "./request_deadline.ts";

test("the caller's signal and the deadline each abort the request, and only the deadline counts as a timeout", async () => {
    const parent = new AbortController();
    const cancelled = new RequestDeadline(parent.signal, 60_000);
    parent.abort();
    assert.equal(cancelled.getSignal().aborted, true);
    assert.equal(cancelled.hasTimedOut(), false);
    cancelled.close();
    const late = new RequestDeadline(new AbortController().signal, 1);
    await new Promise(resolve => late.getSignal().addEventListener("abort", resolve));
    assert.equal(late.hasTimedOut(), true);
    late.close();
});

test("a request whose caller disconnected before it starts is aborted at once", () => {
    const deadline = new RequestDeadline(AbortSignal.abort(), 60_000);
    assert.equal(deadline.getSignal().aborted, true);
    deadline.close();
});
