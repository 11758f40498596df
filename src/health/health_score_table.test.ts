import assert from "node:assert/strict";
import { test } from "node:test";
import { HealthScoreTable } from "./health_score_table.ts";

const service = "payments";

test("a late reply does not replace a newer score", () => {
    const table = new HealthScoreTable();
    table.record({ upstreamId: "u0", service, score: 0, atMs: 5_000 });
    table.record({ upstreamId: "u0", service, score: 18, atMs: 1_000 });
    assert.equal(table.getScore("u0", 0), 0);
});

test("a high score is reported with its age and with scores to compare it with; without one, nothing is reported", () => {
    const table = new HealthScoreTable();
    table.record({ upstreamId: "u1", service, score: 0, atMs: 900 });
    table.record({ upstreamId: "u2", service: "other", score: 0, atMs: 900 });
    assert.deepEqual(table.listReports(1_000), []);
    table.record({ upstreamId: "u0", service, score: 18, atMs: 800, raisedSinceMs: 300 });
    assert.deepEqual(table.listReports(1_000), [
        { upstreamId: "u0", service, score: 18, ageMs: 200, raisedForMs: 500 },
        { upstreamId: "u1", service, score: 0, ageMs: 100, raisedForMs: 0 },
    ]);
    const other = new HealthScoreTable();
    other.merge(table.listReports(1_000), 50_000);
    assert.equal(other.getScore("u0", 49_700), 18);
    assert.equal(other.getRaisedSinceMs("u0"), 49_300);
});

test("reports are limited to 60 a second and a burst, which bounds the bytes of the control plane", () => {
    const table = new HealthScoreTable();
    let sent = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
        for (let index = 0; index < 8; index += 1) {
            table.record({ upstreamId: `u${index}`, service, score: 18, atMs: nowMs });
        }
        sent += table.listReports(nowMs).length;
    }
    assert.ok(sent <= 10 * 60 + 16, `${sent} reports`);
});

test("malformed reports of another daemon are ignored", () => {
    const table = new HealthScoreTable();
    const report = { upstreamId: "u0", service, score: 18, ageMs: 0, raisedForMs: 0 };
    table.merge(
        [{ ...report, score: NaN }, { ...report, ageMs: -1 }, { ...report, raisedForMs: NaN }],
        1_000,
    );
    assert.equal(table.getScore("u0", 0), undefined);
});
