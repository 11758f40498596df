import { ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { storePages } from "../../proof/control/fakes/store_pages.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import { StoreCall } from "./store_call.ts";
import type { StorePage } from "./store_page.ts";

const limits = { responseMs: 600, maxBytes: 1_000_000 };

/** Starts a call whose answer the test delivers. */
function startCall() {
    const time = new VirtualTime();
    const metrics = { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined };
    const call = new StoreCall({ timers: time, metrics, handleBytes: () => undefined });
    let handleBytes: (bytes: number) => void = () => undefined;
    let isAborted = false;
    let sendAnswer: () => void = () => undefined;
    let result: Result<StorePage, Failure> | undefined;
    void call.run(options => {
        handleBytes = options.handleBytes!;
        options.signal!.addEventListener("abort", () => {
            isAborted = true;
        });
        return new Promise(resolve => {
            sendAnswer = () => resolve(storePages.buildPage(1));
        });
    }, limits).then(ended => {
        result = ended;
    });
    return {
        call,
        time,
        getResult: () => result,
        isAborted: () => isAborted,
        sendAnswer: () => sendAnswer(),
        sendBytes: (bytes: number) => handleBytes(bytes),
    };
}

// A limit on the total time is one on the bytes: 600 ms at 7 Mbit/s are half a megabyte.
test("an answer that arrives slowly and steadily is read to its end", async () => {
    const { call, getResult, sendAnswer, sendBytes, time } = startCall();
    for (let bytes = 1; bytes <= 40; bytes += 1) {
        await time.run(100);
        sendBytes(bytes);
        assert.ok(call.isReceiving());
    }
    sendAnswer();
    await time.run(0);
    assert.deepEqual(getResult(), ok(storePages.buildPage(1)._unsafeUnwrap()));
    assert.equal(call.isReceiving(), false);
});

test("a call ends when its answer does not begin in time, stops, or never comes to its end", async () => {
    const late = startCall();
    await late.time.run(601);
    assert.equal(late.getResult()?._unsafeUnwrapErr().code, Code.PlatformUnreachable);
    assert.ok(late.isAborted());
    const stopped = startCall();
    await stopped.time.run(500);
    stopped.sendBytes(1);
    await stopped.time.run(999);
    assert.equal(stopped.getResult(), undefined);
    await stopped.time.run(2);
    assert.ok(stopped.isAborted());
    const endless = startCall();
    for (let bytes = 1; bytes <= 60; bytes += 1) {
        await endless.time.run(100);
        endless.sendBytes(bytes);
    }
    assert.ok(endless.isAborted());
});

test("changes that are longer than all values end the call, so that all values are read in their place", async () => {
    const { getResult, isAborted, sendBytes, time } = startCall();
    await time.run(10);
    sendBytes(limits.maxBytes);
    await time.run(10);
    assert.equal(getResult(), undefined);
    sendBytes(limits.maxBytes + 1);
    await time.run(0);
    assert.equal(getResult()?._unsafeUnwrapErr().code, Code.PlatformHistoryGone);
    assert.ok(isAborted());
});
