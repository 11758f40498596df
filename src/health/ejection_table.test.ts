import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { buildTestMembers } from "../../proof/health/build_test_members.ts";
import { buildTestService } from "../../proof/health/build_test_service.ts";
import type { AuditEntry } from "../audit/audit_entry.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import type { Upstream } from "../core/upstream.ts";
import { EjectionTable } from "./ejection_table.ts";
import { HealthScoreTable } from "./health_score_table.ts";
import { TrialResult } from "./trial_result.ts";

const service = buildTestService();

class Setup {
    private readonly members: readonly Upstream[];
    private readonly service: ServiceConfig;
    readonly scoreTable = new HealthScoreTable();
    readonly entries: AuditEntry[] = [];
    readonly table = new EjectionTable({
        random: new SeededRandom(1),
        membership: { list: () => this.members, getFirstSeenMs: () => -60_000, getVersion: () => 7 },
        audit: { record: entry => void this.entries.push(entry) },
        scoreTable: this.scoreTable,
    });

    constructor(upstreams = 6) {
        this.members = buildTestMembers(upstreams);
        this.service = buildTestService({ members: upstreams, floor: Math.floor(upstreams * 2 / 3) });
    }

    /** Records scores computed at `atMs` for the upstreams in order, raised for one second. */
    record(scores: readonly number[], atMs: number): void {
        for (const [index, score] of scores.entries()) {
            const record = { upstreamId: `u${index}`, service: service.name, score, atMs };
            this.scoreTable.record({ ...record, raisedSinceMs: atMs - 1_000 });
        }
    }

    listEjected(nowMs: number): readonly string[] {
        return [...this.table.update(this.service, this.members, new Set(), nowMs).ejected];
    }

    recordTrial(result: TrialResult, nowMs: number): void {
        this.table.recordTrialStart(service.name, "u0");
        this.table.recordTrialEnd(service, "u0", result, nowMs);
    }

    findTrial(idempotent: boolean, nowMs: number): string | undefined {
        return this.table.findTrial(service.name, this.members, { idempotent, nowMs })?.id;
    }
}

test("a single failing upstream is ejected, and the audit entry contains the evidence", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 5_000);
    assert.deepEqual(setup.listEjected(5_000), ["u0"]);
    assert.equal(setup.entries[0]?.subject, "u0");
    assert.match(setup.entries[0].cause, /18\.0 nats .* alarm at 14\.5/);
    assert.equal(setup.entries[0].version, 7);
});

test("a fault common to all upstreams ejects none although each score exceeds the alarm", () => {
    const setup = new Setup();
    setup.record([18, 18, 17, 18, 16, 18], 5_000);
    assert.deepEqual(setup.listEjected(5_000), []);
});

/** The second of three upstreams fails from 5,000 ms on; the third has one slow answer at the same time. */
function buildSlowAnswerSetup(slowAnswerScore: number): Setup {
    const setup = new Setup(3);
    setup.record([0, 0, 0], 4_900);
    const failing = { upstreamId: "u1", service: service.name, raisedSinceMs: 5_000 };
    setup.scoreTable.record({ ...failing, score: 10, atMs: 5_100 });
    setup.scoreTable.record({ upstreamId: "u2", service: service.name, score: slowAnswerScore, atMs: 5_200 });
    setup.scoreTable.record({ ...failing, score: 18, atMs: 5_250 });
    setup.record([0], 5_400);
    setup.scoreTable.record({ upstreamId: "u2", service: service.name, score: 0, atMs: 5_400 });
    return setup;
}

function recordFailing(setup: Setup, score: number, atMs: number): void {
    setup.scoreTable.record({ upstreamId: "u1", service: service.name, score, atMs, raisedSinceMs: 5_000 });
}

test("one slow answer of another upstream does not prevent the ejection of a failing one of three", () => {
    const setup = buildSlowAnswerSetup(3.2);
    recordFailing(setup, 18, 5_800);
    assert.deepEqual(setup.listEjected(5_800), ["u1"]);
});

test("a short fault of all upstreams with one slow answer at each of the others ejects none after its end", () => {
    const setup = buildSlowAnswerSetup(3.2);
    assert.deepEqual(setup.listEjected(5_500), []);
    // A late result of the common fault.
    recordFailing(setup, 18, 5_600);
    assert.deepEqual(setup.listEjected(5_650), []);
    recordFailing(setup, 17.3, 5_800);
    assert.deepEqual(setup.listEjected(5_800), []);
});

test("a peak that healthy upstreams do not reach counts until the requests of a common fault have ended", () => {
    const setup = buildSlowAnswerSetup(9.6);
    recordFailing(setup, 18, 6_300);
    assert.deepEqual(setup.listEjected(6_300), []);
});

test("an ended pause of another upstream does not prevent the ejection of a failing one of three", () => {
    const setup = buildSlowAnswerSetup(9.6);
    recordFailing(setup, 18, 6_500);
    setup.record([0], 6_500);
    assert.deepEqual(setup.listEjected(6_500), ["u1"]);
});

test("without recent scores of other upstreams nothing is ejected, because the fault may be common", () => {
    const setup = new Setup();
    setup.record([0, 0, 0, 0, 0, 0], 1_000);
    setup.record([18], 5_000);
    assert.deepEqual(setup.listEjected(5_000), []);
});

test("an old score does not eject; replies may be late or the owner may have restarted", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 5_000);
    assert.deepEqual(setup.listEjected(7_000), []);
});

test("the hold doubles from 2 s up to 60 s while trial requests fail", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 0);
    setup.listEjected(0);
    const holds: number[] = [];
    for (let nowMs = 0; holds.length < 7; nowMs += 200_000) {
        holds.push(setup.table.getState(service.name, "u0")!.holdMs);
        setup.recordTrial(TrialResult.Failed, nowMs);
    }
    assert.deepEqual(holds, [2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000]);
});

test("the hold of a flapping upstream grows with each ejection soon after a return", () => {
    const setup = new Setup();
    const holds: number[] = [];
    for (const nowMs of [0, 10_000, 30_000]) {
        setup.record([18, 0, 0, 0, 0, 0], nowMs);
        setup.listEjected(nowMs);
        holds.push(setup.table.getState(service.name, "u0")!.holdMs);
        setup.record([0, 0, 0, 0, 0, 0], nowMs + 7_000);
        setup.recordTrial(TrialResult.Succeeded, nowMs + 7_000);
        assert.deepEqual(setup.listEjected(nowMs + 7_000), []);
    }
    assert.deepEqual(holds, [2_000, 4_000, 8_000]);
});

test("trial requests begin after the hold, one at a time, and non-idempotent ones a second hold later", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 0);
    setup.listEjected(0);
    assert.equal(setup.findTrial(true, 1_900), undefined);
    assert.equal(setup.findTrial(true, 3_100), "u0");
    assert.equal(setup.findTrial(false, 3_100), undefined);
    assert.equal(setup.findTrial(false, 5_100), "u0");
    setup.table.recordTrialStart(service.name, "u0");
    assert.equal(setup.findTrial(true, 5_100), undefined);
});

test("a returned upstream starts with a tenth of its weight and has its full weight after slow start", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 0);
    setup.listEjected(0);
    setup.record([0], 4_000);
    setup.recordTrial(TrialResult.Succeeded, 4_000);
    assert.equal(setup.table.getWeight(service, "u0", 4_000), 0.1);
    assert.equal(setup.table.getWeight(service, "u0", 14_000), 1);
    assert.equal(setup.table.getWeight(service, "u1", 4_000), 1);
});

test("a successful trial request does not return an upstream whose score is still high at its owner", () => {
    const setup = new Setup();
    setup.record([18, 0, 0, 0, 0, 0], 0);
    setup.listEjected(0);
    setup.record([12], 4_000);
    setup.recordTrial(TrialResult.Succeeded, 4_000);
    assert.equal(setup.table.getState(service.name, "u0")?.ejected, true);
});
