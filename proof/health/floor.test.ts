import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { computeRotation } from "../../src/health/compute_rotation.ts";
import { EjectionTable } from "../../src/health/ejection_table.ts";
import { HealthScoreTable } from "../../src/health/health_score_table.ts";
import { TrialResult } from "../../src/health/trial_result.ts";
import { checkHistory } from "../check_history.ts";
import { EventKind } from "../event_kind.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { HistoryRecorder } from "../history_recorder.ts";
import { FloorPredicate } from "../predicates/floor_predicate.ts";
import type { Violation } from "../violation.ts";
import { buildTestMembers } from "./build_test_members.ts";
import { buildTestService } from "./build_test_service.ts";

const memberArbitrary = fc.record({
    upstreamId: fc.integer({ min: 0, max: 15 }).map(index => `u${index}`),
    excess: fc.double(),
    failing: fc.boolean(),
    ejected: fc.boolean(),
    unreachable: fc.boolean(),
});

test("no rotation is below the floor, even with NaN, duplicate members or a floor out of range", () => {
    fc.assert(
        fc.property(
            fc.array(memberArbitrary, { maxLength: 20 }),
            fc.integer({ min: -3, max: 30 }),
            (members, floor) => {
                const { inRotation, ejected, avoided } = computeRotation(members, floor);
                const live = new Set(members.map(({ upstreamId }) => upstreamId));
                assert.ok(inRotation.size >= Math.min(live.size, floor));
                assert.equal(inRotation.size + ejected.size + avoided.size, live.size);
            },
        ),
        { seed: 1, numRuns: 1_000 },
    );
});

test("upstreams with the highest excess are ejected first, so that the floor retains the others", () => {
    const members = fc.uniqueArray(memberArbitrary, {
        selector: ({ upstreamId }) => upstreamId,
        maxLength: 16,
    });
    const property = fc.property(members, fc.nat(16), (list, floor) => {
        const finite = list.map(member => ({
            ...member,
            excess: Number.isFinite(member.excess) ? member.excess : 0,
        }));
        const { ejected } = computeRotation(finite, floor);
        const ejectedMembers = finite.filter(({ upstreamId }) => ejected.has(upstreamId));
        const failingInRotation = finite.filter(({ upstreamId, failing }) =>
            failing && !ejected.has(upstreamId)
        );
        assert.ok(ejectedMembers.every(({ failing }) => failing));
        assert.ok(
            ejectedMembers.every(({ excess }) => failingInRotation.every(other => excess >= other.excess)),
        );
    });
    fc.assert(property, { seed: 1, numRuns: 1_000 });
});

interface Step {
    readonly daemon: number;
    readonly upstream: number;
    readonly score: number;
    /** Age of the score, which is old in a late reply or report. */
    readonly ageMs: number;
    readonly elapsedMs: number;
    readonly trial: TrialResult | undefined;
    readonly unreachable: number;
    readonly live: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    daemon: fc.nat(2),
    upstream: fc.nat(7),
    // Mostly far above the alarm threshold, and 0 as after a restart of the owner.
    score: fc.oneof(fc.constant(0), fc.constant(30), fc.double({ min: 0, max: 40, noNaN: true })),
    ageMs: fc.oneof(fc.constant(0), fc.nat(5_000)),
    elapsedMs: fc.nat(1_500),
    trial: fc.option(fc.constantFrom(...Object.values(TrialResult)), { nil: undefined }),
    unreachable: fc.nat(8),
    live: fc.integer({ min: 1, max: 8 }),
});

/**
 * Runs three daemons with separate scores; the table uses `configuredFloor`, and the predicate checks
 * `floor`.
 */
function runDaemons(steps: readonly Step[], floor: number, configuredFloor: number): readonly Violation[] {
    const members = buildTestMembers(8);
    const service = buildTestService({ floor: configuredFloor });
    const history = new HistoryRecorder();
    const daemons = Array.from({ length: 3 }, (_, index) => {
        const scoreTable = new HealthScoreTable();
        const audit = { record: () => undefined };
        const membership = { list: () => members, getFirstSeenMs: () => 0, getVersion: () => 1 };
        const random = new SeededRandom(index);
        return { scoreTable, table: new EjectionTable({ random, membership, audit, scoreTable }) };
    });
    let nowMs = 0;
    for (const step of steps) {
        nowMs += step.elapsedMs;
        const { scoreTable, table } = daemons[step.daemon]!;
        const upstreamId = `u${step.upstream}`;
        const live = members.slice(0, step.live);
        const atMs = nowMs - step.ageMs;
        scoreTable.record({
            upstreamId,
            service: service.name,
            score: step.score,
            atMs,
            raisedSinceMs: atMs - 1_000,
        });
        // The other upstreams have healthy scores, so that the high score stands out from them.
        for (const { id } of live.filter(member => member.id !== upstreamId)) {
            if (scoreTable.getScore(id, nowMs - 1_000) === undefined) {
                scoreTable.record({ upstreamId: id, service: service.name, score: 0, atMs: nowMs });
            }
        }
        if (step.trial !== undefined) {
            table.recordTrialStart(service.name, upstreamId);
            table.recordTrialEnd(service, upstreamId, step.trial, nowMs);
        }
        const unreachable = new Set(live.slice(0, step.unreachable).map(({ id }) => id));
        const { inRotation } = table.update(service, live, unreachable, nowMs);
        history.record({
            kind: EventKind.RotationComputed,
            atMs: nowMs,
            actor: `daemon ${step.daemon}`,
            service: service.name,
            members: [...inRotation],
            live: live.length,
            floor,
        });
    }
    return checkHistory(history.list(), [new FloorPredicate()]);
}

const stepsArbitrary = fc.array(stepArbitrary, { minLength: 30, maxLength: 80 });

test("daemons that eject simultaneously with different, late and stale scores each keep the floor", () => {
    fc.assert(
        fc.property(stepsArbitrary, fc.nat(8), (steps, floor) => {
            assert.deepEqual(runDaemons(steps, floor, floor), []);
        }),
        { seed: 1, numRuns: 200 },
    );
});

test("the predicate detects ejection without the floor check", () => {
    const [steps] = fc.sample(stepsArbitrary, { seed: 1, numRuns: 50 })
        .filter(candidate => runDaemons(candidate, 6, 0).length > 0);
    assert.ok(steps !== undefined, "no run of the mutant violates the floor");
    assert.equal(runDaemons(steps, 6, 0)[0]?.predicate, "floor");
    assert.deepEqual(runDaemons(steps, 6, 6), []);
});
