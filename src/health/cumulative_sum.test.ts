import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { CumulativeSum } from "./cumulative_sum.ts";

test("a healthy upstream reaches a score of h in at most exp(-h) of the runs, which bounds false alarms", () => {
    const alarmScore = 4;
    const random = new SeededRandom(7);
    const sum = new CumulativeSum({ healthyShare: 0.05, failingShare: 0.5 });
    let runs = 0;
    let alarms = 0;
    for (let index = 0; index < 400_000; index += 1) {
        const before = sum.get();
        sum.add(random.getFloat() < 0.05, alarmScore);
        runs += before === 0 ? 1 : 0;
        if (sum.get() >= alarmScore) {
            alarms += 1;
            sum.set(0, alarmScore);
        }
    }
    assert.ok(runs > 10_000);
    assert.ok(alarms / runs <= Math.exp(-alarmScore), `${alarms} alarms in ${runs} runs`);
});

test("a failing upstream raises the alarm within 20 requests, which arrive in two seconds", () => {
    const sum = new CumulativeSum({ healthyShare: 0.05, failingShare: 0.5 });
    let count = 0;
    while (sum.get() < Math.log(1e6)) {
        sum.add(true, 100);
        count += 1;
    }
    assert.ok(count <= 20, `${count} requests`);
});
