import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerHolder } from "./answer_holder.ts";
import { AnswerMemory } from "./answer_memory.ts";

const maxBytes = 67_108_864;

class CountingHolder implements AnswerHolder {
    cancelled = 0;

    cancel(): void {
        this.cancelled += 1;
    }
}

test("the answer that holds most is cancelled and not the one that adds, so that one stalled answer does not end all others", () => {
    const memory = new AnswerMemory();
    const [large, small] = [new CountingHolder(), new CountingHolder()];
    memory.open(large);
    memory.open(small);
    memory.add(large, maxBytes - 10);
    memory.add(small, 10);
    assert.deepEqual([large.cancelled, small.cancelled], [0, 0]);
    memory.add(small, 1);
    assert.deepEqual([large.cancelled, small.cancelled], [1, 0]);
});

test("a cancelled answer counts no more, so that its late bytes and its release do not change the count of others", () => {
    const memory = new AnswerMemory();
    const [first, second] = [new CountingHolder(), new CountingHolder()];
    memory.open(first);
    memory.add(first, maxBytes + 1);
    memory.add(first, maxBytes);
    memory.release(first);
    assert.equal(first.cancelled, 1);
    memory.open(second);
    memory.add(second, maxBytes);
    assert.equal(second.cancelled, 0);
    memory.add(second, 1);
    assert.equal(second.cancelled, 1);
});

test("answers hold no more than the limit together and only the largest one is cancelled, whatever the order", () => {
    const step = fc.record({
        index: fc.nat(4),
        bytes: fc.integer({ min: 1, max: maxBytes / 2 }),
        releases: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const memory = new AnswerMemory();
        const held = new Map<AnswerHolder, number>();
        const holders = Array.from({ length: 5 }, (): AnswerHolder => {
            const holder = {
                cancel: () => {
                    assert.equal(held.get(holder), Math.max(...held.values()));
                    held.delete(holder);
                },
            };
            return holder;
        });
        for (const { bytes, index, releases } of steps) {
            const holder = holders[index]!;
            if (releases) {
                memory.release(holder);
                held.delete(holder);
                continue;
            }
            if (!held.has(holder)) {
                memory.open(holder);
            }
            held.set(holder, (held.get(holder) ?? 0) + bytes);
            const sum = [...held.values()].reduce((total, part) => total + part, 0);
            const count = held.size;
            memory.add(holder, bytes);
            assert.equal(held.size, sum > maxBytes ? count - 1 : count);
        }
    }));
});
