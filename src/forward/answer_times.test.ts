import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { AnswerTimes } from "./answer_times.ts";

test("the quantile of answer times does not depend on how many slow attempts a hedge has ended", () => {
    const random = new SeededRandom(7);
    const all = new AnswerTimes(0);
    const hedged = new AnswerTimes(0);
    const answersOnly = new AnswerTimes(0);
    for (let index = 0; index < 5_000; index += 1) {
        const durationMs = -100 * Math.log(1 - random.getFloat());
        const cancelledAtMs = 60 + 400 * random.getFloat();
        all.addAnswer(durationMs, 0);
        if (durationMs <= cancelledAtMs) {
            hedged.addAnswer(durationMs, 0);
            answersOnly.addAnswer(durationMs, 0);
        }
        else {
            hedged.addUnanswered(cancelledAtMs, 0);
        }
    }
    for (const quantile of [0.5, 0.8, 0.9]) {
        const expectedMs = all.computeQuantileMs(quantile, 0)!;
        const measuredMs = hedged.computeQuantileMs(quantile, 0)!;
        assert.ok(Math.abs(measuredMs / expectedMs - 1) < 0.1, `${quantile}: ${measuredMs}, ${expectedMs}`);
    }
    // Without the attempts that were ended, slow answers seem to be rare and the hedges come ever earlier.
    assert.ok(answersOnly.computeQuantileMs(0.9, 0)! < 0.8 * all.computeQuantileMs(0.9, 0)!);
});

test("old answers expire, so that the delay follows a service that has become slower or faster", () => {
    const times = new AnswerTimes(0);
    for (let index = 0; index < 100; index += 1) {
        times.addAnswer(500, 0);
    }
    assert.ok(times.computeQuantileMs(0.5, 14_000)! >= 500);
    for (let index = 0; index < 30; index += 1) {
        times.addAnswer(10, 31_000);
    }
    assert.ok(times.computeQuantileMs(0.95, 31_000)! < 11);
    assert.equal(times.computeQuantileMs(0.95, 62_000), undefined);
});
