import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { BoundedMemoryAccount } from "./bounded_memory_account.ts";
import { MemoryGuard } from "./memory_guard.ts";
import { MemoryHolder } from "./memory_holder.ts";
import { ProgressTable } from "./progress_table.ts";

class Setup {
    readonly time = new VirtualTime();
    readonly account = new BoundedMemoryAccount({
        capacityBytes: 100,
        reservedBytes: 0,
        smallBytes: 0,
        shortBytes: 0,
    });
    readonly closed: string[] = [];
    readonly guard: MemoryGuard;

    constructor(parts = { reservedBytes: 0, smallBytes: 0, shortBytes: 0 }) {
        this.account = new BoundedMemoryAccount({ capacityBytes: 100, ...parts });
        this.guard = new MemoryGuard({
            account: this.account,
            progress: new ProgressTable(),
            collector: {
                recordDropped: () => undefined,
                recordReleased: () => undefined,
                purge: () => undefined,
            },
            timers: this.time,
            logger: { write: () => undefined },
            metrics: { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined },
        });
    }

    /** Opens a transfer whose progress is read from `getProgressBytes`. */
    addTransfer(name: string, bytes: number, getProgressBytes: () => number): void {
        const charge = this.guard.openCharge(MemoryHolder.RequestBody, bytes)!;
        const user = {
            getHeldBytes: () => charge.getBytes(),
            getProgressBytes,
            close: () => {
                this.closed.push(name);
                this.guard.release(user);
                charge.close();
            },
        };
        this.guard.register(user);
    }

    waitForCharge(bytes: number, signal = new AbortController().signal) {
        return this.guard.waitForCharge(MemoryHolder.RequestBody, bytes, signal);
    }
}

test("a stalled transfer is closed for one that waits, and one that progresses is not", async () => {
    const setup = new Setup();
    setup.addTransfer("moving", 50, () => setup.time.getMonotonicMs());
    setup.addTransfer("stalled", 40, () => 7);
    const waiting = setup.waitForCharge(40);
    await setup.time.run(1_000);
    assert.notEqual(await waiting, undefined);
    assert.deepEqual(setup.closed, ["stalled"]);
});

test("a transfer for which no room comes free is refused, so that its caller can try elsewhere in time", async () => {
    const setup = new Setup();
    setup.addTransfer("moving", 90, () => setup.time.getMonotonicMs());
    const waiting = setup.waitForCharge(20);
    await setup.time.run(1_250);
    assert.equal(await waiting, undefined);
    assert.deepEqual([setup.closed, setup.account.getChargedBytes()], [[], 90]);
});

test("a wait that its caller aborts leaves no charge, also when room comes free later", async () => {
    const setup = new Setup();
    const charge = await setup.waitForCharge(90);
    const controller = new AbortController();
    const waiting = setup.waitForCharge(20, controller.signal);
    controller.abort();
    assert.equal(await waiting, undefined);
    charge?.close();
    assert.equal(setup.account.getChargedBytes(), 0);
    assert.equal(await setup.waitForCharge(1, AbortSignal.abort()), undefined);
});

test("while answers exceed the account, those that their callers do not read are closed although nothing waits", async () => {
    const setup = new Setup();
    setup.addTransfer("unread", 60, () => 0);
    const charge = setup.guard.addCharge(MemoryHolder.CallerAnswer, 60);
    await setup.time.run(1_000);
    assert.deepEqual(setup.closed, ["unread"]);
    charge.close();
});

test("an answer that is passed on keeps its room, so that a transfer that waits does not exceed the account", async () => {
    const { account, guard, time } = new Setup();
    const read = guard.openCharge(MemoryHolder.UpstreamAnswer, 80);
    const waiting = guard.waitForCharge(MemoryHolder.UpstreamAnswer, 80, new AbortController().signal);
    read?.close();
    const sent = guard.addCharge(MemoryHolder.CallerAnswer, 80);
    await time.run(1);
    assert.equal(account.isExceeded(), false);
    sent.close();
    await time.run(1);
    assert.notEqual(await waiting, undefined);
});

test("as many stalled transfers are closed in a round as those that wait need, so that a crowd does not keep others out", async () => {
    const setup = new Setup();
    for (let index = 0; index < 9; index += 1) {
        setup.addTransfer(`stalled ${index}`, 10, () => 7);
    }
    setup.addTransfer("moving", 10, () => setup.time.getMonotonicMs());
    const waiting = [setup.waitForCharge(30), setup.waitForCharge(40)];
    await setup.time.run(500);
    assert.equal((await Promise.all(waiting)).filter(charge => charge !== undefined).length, 2);
    assert.equal(setup.closed.length, 7);
});

test("a body is refused at once when many transfers wait, and an answer still waits, because its request has run", async () => {
    const setup = new Setup();
    setup.guard.addCharge(MemoryHolder.CallerAnswer, 100);
    const waiting = Array.from({ length: 64 }, () => setup.waitForCharge(1));
    assert.equal(await setup.waitForCharge(1), undefined);
    void setup.guard.waitForCharge(MemoryHolder.UpstreamAnswer, 1, new AbortController().signal);
    assert.equal(setup.guard.countWaiting(), 65);
    await setup.time.run(1_250);
    await Promise.all(waiting);
});

test("a large answer gets the room that comes free piece by piece, which small bodies behind it would take", async () => {
    const setup = new Setup({ reservedBytes: 20, smallBytes: 10, shortBytes: 2 });
    const charges = Array.from({ length: 10 }, () => setup.guard.addCharge(MemoryHolder.RequestBody, 10));
    const answer = setup.guard.waitForCharge(
        MemoryHolder.UpstreamAnswer,
        30,
        new AbortController().signal,
    );
    const bodies = [];
    for (const charge of charges.slice(0, 5)) {
        bodies.push(setup.waitForCharge(10));
        charge.close();
        await setup.time.run(100);
    }
    await setup.time.run(1_250);
    assert.notEqual(await answer, undefined);
    await Promise.all(bodies);
});

test("short transfers, and small ones within the reserved part, do not wait behind a large one that finds no room", async () => {
    const setup = new Setup({ reservedBytes: 20, smallBytes: 10, shortBytes: 2 });
    setup.guard.addCharge(MemoryHolder.CallerAnswer, 70);
    const large = setup.waitForCharge(40);
    assert.notEqual(await setup.waitForCharge(10), undefined);
    assert.notEqual(await setup.waitForCharge(10), undefined);
    const third = setup.waitForCharge(10);
    assert.notEqual(await setup.waitForCharge(2), undefined);
    await setup.time.run(1_250);
    assert.deepEqual([await large, await third], [undefined, undefined]);
});
