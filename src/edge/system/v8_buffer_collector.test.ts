import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { V8BufferCollector } from "./v8_buffer_collector.ts";

const bufferBytes = 1_000_000;
const count = 5;
const collector = new V8BufferCollector();

/** Returns buffers that are referenced by nothing else, after collections that promote them to the old generation. */
async function createOldBuffers(): Promise<readonly WeakRef<Buffer>[]> {
    const buffers = Array.from({ length: count }, () => Buffer.allocUnsafeSlow(bufferBytes));
    const references = buffers.map(buffer => new WeakRef(buffer));
    for (let turn = 0; turn < count; turn += 1) {
        // Above the bytes of dropped buffers after which the young generation is collected.
        collector.recordDropped(10_000_000);
        await wait(1);
    }
    assert.equal(buffers.length, count);
    return references;
}

test("the end of many transfers frees buffers of the old generation, so that they do not fill the memory", async () => {
    const references = await createOldBuffers();
    await wait(1);
    collector.recordReleased(20_000_000);
    await wait(20);
    const left = references.filter(reference => reference.deref() !== undefined).length;
    // The interpreter may still hold one in a register.
    assert.ok(left <= 1, `${left} of ${count} are left`);
});
