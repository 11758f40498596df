import fc from "fast-check";
import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { readBody } from "./read_body.ts";

test("a body is the concatenation of its chunks, whatever their sizes, so that no byte is lost or reordered", async () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 40 });
    await fc.assert(fc.asyncProperty(chunks, async values => {
        const buffers = values.map(value => Buffer.from(value));
        const expected = Buffer.concat(buffers);
        const body = await readBody(Readable.from(buffers), {
            maxBytes: expected.length,
            declaredLength: `${expected.length}`,
        });
        assert.deepEqual(Buffer.from(body._unsafeUnwrap()), expected);
    }));
});

test("the memory for a body of one-byte chunks is proportional to its size, so that it cannot exhaust the heap", async () => {
    const count = 1_048_576;
    const read = Buffer.alloc(65_536);
    const startBytes = process.memoryUsage().heapUsed;
    let usedBytes = 0;
    const stream = Readable.from((function* () {
        for (let index = 0; index < count; index += 1) {
            yield read.subarray(0, 1);
        }
        usedBytes = process.memoryUsage().heapUsed - startBytes;
    })());
    assert.equal((await readBody(stream, { maxBytes: count }))._unsafeUnwrap().length, count);
    // 64 bytes per byte of the body: less than the Buffer object of each chunk would take.
    assert.ok(usedBytes <= 64 * count, `${usedBytes} bytes are in use`);
});

test("reading stops at the size limit, whether the length was declared or not", async () => {
    for (const declaredLength of [undefined, "11"]) {
        const stream = Readable.from([Buffer.alloc(6), Buffer.alloc(5)]);
        assert.equal(
            (await readBody(stream, { maxBytes: 10, declaredLength }))._unsafeUnwrapErr(),
            "too-large",
        );
        assert.ok(stream.isPaused());
    }
});

test("a body that is truncated or shorter than declared is not accepted as complete", async () => {
    await assert.rejects(readBody(Readable.from([Buffer.alloc(6)]), { maxBytes: 10, declaredLength: "7" }));
    const stream = new Readable({ read: () => undefined });
    stream.push(Buffer.alloc(6));
    setImmediate(() => stream.destroy());
    await assert.rejects(readBody(stream, { maxBytes: 10 }));
});
