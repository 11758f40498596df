import assert from "node:assert/strict";
import { test } from "node:test";
import { buildHedgeLoads } from "../../measure/hedging/build_hedge_loads.ts";
import { runHedgeReplay } from "../../measure/hedging/run_hedge_replay.ts";
import { computeQuantile } from "../../measure/load/compute_quantile.ts";
import { NoHedgingPolicy } from "./no_hedging_policy.ts";
import { QuantileHedgingPolicy } from "./quantile_hedging_policy.ts";

const percent = 5;
async function runBoth(name: string, durationMs: number) {
    const load = buildHedgeLoads().find(candidate => candidate.name.startsWith(name))!;
    const run = (isHedged: boolean) =>
        runHedgeReplay(load, {
            seed: 5,
            durationMs,
            createPolicy: (budget, loads) =>
                isHedged ? new QuantileHedgingPolicy({ percent, budget, loads }) : new NoHedgingPolicy(),
        });
    const [unhedged, hedged] = [await run(false), await run(true)];
    const countInTarget = (answersMs: readonly number[]) =>
        answersMs.filter(answerMs => answerMs <= load.targetMs).length;
    return { unhedged, hedged, countInTarget };
}

test("a slow tail: hedges bring late answers into the target, within their share of the requests", async () => {
    const { countInTarget, hedged, unhedged } = await runBoth("slow tail: 3%", 45_000);
    const lateBefore = unhedged.requests - countInTarget(unhedged.answersMs);
    const lateAfter = hedged.requests - countInTarget(hedged.answersMs);
    assert.ok(lateAfter < lateBefore / 2, `${lateAfter} late answers in place of ${lateBefore}`);
    assert.ok(computeQuantile(hedged.answersMs, 0.99) < computeQuantile(unhedged.answersMs, 0.99));
    assert.ok(hedged.hedges > 0 && hedged.hedges <= hedged.requests * percent / 100, `${hedged.hedges}`);
});

test("correlated slowness: hedges add no more than their share while all upstreams are slow at once", async () => {
    const { countInTarget, hedged, unhedged } = await runBoth("correlated slowness", 45_000);
    assert.ok(hedged.hedges <= hedged.requests * percent / 100, `${hedged.hedges} hedges`);
    assert.ok(hedged.workMs <= unhedged.workMs * (1 + percent / 100), "more work than the share allows");
    // The two runs draw different service times, so an equal share varies by some requests.
    const [before, after] = [unhedged, hedged].map(result =>
        countInTarget(result.answersMs) / result.requests
    );
    assert.ok(after! >= before! - 0.02, `${after} of the requests in the target in place of ${before}`);
});

test("overload: no hedge takes the slot of a request that waits", async () => {
    const { hedged } = await runBoth("overload", 10_000);
    assert.equal(hedged.hedges, 0);
    assert.ok((hedged.refusals.get("slots") ?? 0) > 0, "hedges were due");
});
