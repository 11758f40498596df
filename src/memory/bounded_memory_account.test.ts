import assert from "node:assert/strict";
import { test } from "node:test";
import { BoundedMemoryAccount } from "./bounded_memory_account.ts";
import { computeMemoryLimits } from "./compute_memory_limits.ts";
import { MemoryHolder } from "./memory_holder.ts";

const bytesPerMb = 1_048_576;

function openAccount(): BoundedMemoryAccount {
    return new BoundedMemoryAccount({ capacityBytes: 100, reservedBytes: 20, smallBytes: 10, shortBytes: 2 });
}

test("large transfers leave the reserved part to small ones, so that a crowd does not keep ordinary requests out", () => {
    const account = openAccount();
    assert.notEqual(account.openCharge(MemoryHolder.RequestBody, 80), undefined);
    assert.equal(account.openCharge(MemoryHolder.RequestBody, 11), undefined);
    assert.notEqual(account.openCharge(MemoryHolder.RequestBody, 10), undefined);
    assert.notEqual(account.openCharge(MemoryHolder.LinkFrame, 10), undefined);
    assert.equal(account.openCharge(MemoryHolder.LinkFrame, 1), undefined);
});

test("a charge that grows beyond a small one loses the reserved part, so that steps do not get around it", () => {
    const account = openAccount();
    account.openCharge(MemoryHolder.RequestBody, 75);
    const charge = account.openCharge(MemoryHolder.RequestBody, 5);
    assert.equal(charge?.add(5), true);
    assert.equal(charge?.add(1), false);
    assert.equal(account.getChargedBytes(), 85);
});

test("a charge that is closed twice returns its bytes once, so that the account does not go below what is held", () => {
    const account = openAccount();
    const released: number[] = [];
    account.setReleaseListener(bytes => released.push(bytes));
    account.addCharge(MemoryHolder.CallerAnswer, 120);
    const charge = account.addCharge(MemoryHolder.LinkFrame, 30);
    assert.ok(account.isExceeded());
    charge.close();
    charge.close();
    assert.equal(charge.add(1), false);
    assert.deepEqual([account.getChargedBytes(), account.getChargedBytes(MemoryHolder.LinkFrame)], [120, 0]);
    assert.deepEqual(released, [30]);
});

test("the largest body that operators allow fits beside the reserved part of the smallest instances", () => {
    const { capacityBytes, reservedBytes } = computeMemoryLimits(250 * bytesPerMb);
    assert.ok(capacityBytes - reservedBytes >= 64 * bytesPerMb);
});
