import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerMemoryLimiter } from "./answer_memory_limiter.ts";
import type { PendingAnswer } from "./pending_answer.ts";

const maxBytes = 67_108_864;

class FakeAnswer implements PendingAnswer {
    cancelled = 0;

    cancel(): void {
        this.cancelled += 1;
    }
}

test("the largest answer is cancelled and not the one that adds bytes, so that one stalled answer does not end all others", () => {
    const limiter = new AnswerMemoryLimiter(maxBytes);
    const [large, small] = [new FakeAnswer(), new FakeAnswer()];
    limiter.register(large);
    limiter.register(small);
    limiter.addBytes(large, maxBytes - 10);
    limiter.addBytes(small, 10);
    assert.deepEqual([large.cancelled, small.cancelled], [0, 0]);
    limiter.addBytes(small, 1);
    assert.deepEqual([large.cancelled, small.cancelled], [1, 0]);
});

test("a cancelled answer is no longer counted, so that its late bytes and its release do not change the count of others", () => {
    const limiter = new AnswerMemoryLimiter(maxBytes);
    const [first, second] = [new FakeAnswer(), new FakeAnswer()];
    limiter.register(first);
    limiter.addBytes(first, maxBytes + 1);
    limiter.addBytes(first, maxBytes);
    limiter.release(first);
    assert.equal(first.cancelled, 1);
    limiter.register(second);
    limiter.addBytes(second, maxBytes);
    assert.equal(second.cancelled, 0);
    limiter.addBytes(second, 1);
    assert.equal(second.cancelled, 1);
});

test("all answers together stay within the limit and only the largest one is cancelled, whatever the order", () => {
    const step = fc.record({
        index: fc.nat(4),
        bytes: fc.integer({ min: 1, max: maxBytes / 2 }),
        releases: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const limiter = new AnswerMemoryLimiter(maxBytes);
        const bytesByAnswer = new Map<PendingAnswer, number>();
        const answers = Array.from({ length: 5 }, (): PendingAnswer => {
            const answer = {
                cancel: () => {
                    assert.equal(bytesByAnswer.get(answer), Math.max(...bytesByAnswer.values()));
                    bytesByAnswer.delete(answer);
                },
            };
            return answer;
        });
        for (const { bytes, index, releases } of steps) {
            const answer = answers[index]!;
            if (releases) {
                limiter.release(answer);
                bytesByAnswer.delete(answer);
                continue;
            }
            if (!bytesByAnswer.has(answer)) {
                limiter.register(answer);
            }
            bytesByAnswer.set(answer, (bytesByAnswer.get(answer) ?? 0) + bytes);
            const sum = [...bytesByAnswer.values()].reduce((total, part) => total + part, 0);
            const count = bytesByAnswer.size;
            limiter.addBytes(answer, bytes);
            assert.equal(bytesByAnswer.size, sum > maxBytes ? count - 1 : count);
        }
    }));
});
