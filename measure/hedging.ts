/**
 * Replays loads with and without hedging in virtual time and prints a Markdown table.
 *
 * @example
 * ```sh
 * node --import tsx measure/hedging.ts --seeds 1,2,3
 * ```
 *
 * @module
 */
import { parseArgs } from "node:util";
import type { HedgingPolicy } from "../src/forward/hedging_policy.ts";
import { NoHedgingPolicy } from "../src/forward/no_hedging_policy.ts";
import { QuantileHedgingPolicy } from "../src/forward/quantile_hedging_policy.ts";
import type { RetryBudget } from "../src/forward/retry_budget.ts";
import type { ServiceLoadReader } from "../src/select/service_load_reader.ts";
import { buildHedgeLoads } from "./hedging/build_hedge_loads.ts";
import type { HedgeResult } from "./hedging/hedge_result.ts";
import { runHedgeReplay } from "./hedging/run_hedge_replay.ts";
import { TargetSharePolicy } from "./hedging/target_share_policy.ts";
import { computeQuantile } from "./load/compute_quantile.ts";
import { formatSpread } from "./load/format_spread.ts";
import { formatTable } from "./load/format_table.ts";

const { values: settings } = parseArgs({
    options: {
        seeds: { type: "string", default: "1,2,3" },
        durationMs: { type: "string", default: "60000" },
    },
});

const policies: Readonly<Record<string, (budget: RetryBudget, loads: ServiceLoadReader) => HedgingPolicy>> = {
    "none": () => new NoHedgingPolicy(),
    "0.6 of the target": budget => new TargetSharePolicy(budget),
    "quantile, 5%": (budget, loads) => new QuantileHedgingPolicy({ percent: 5, budget, loads }),
    "quantile, 20%": (budget, loads) => new QuantileHedgingPolicy({ percent: 20, budget, loads }),
};

const rows: string[][] = [];
for (const load of buildHedgeLoads()) {
    const unhedged: HedgeResult[] = [];
    for (const [name, createPolicy] of Object.entries(policies)) {
        const results: HedgeResult[] = [];
        for (const seed of settings.seeds.split(",").map(Number)) {
            results.push(
                await runHedgeReplay(load, { seed, durationMs: Number(settings.durationMs), createPolicy }),
            );
        }
        if (name === "none") {
            unhedged.push(...results);
        }
        const formatQuantile = (quantile: number) =>
            formatSpread(results.map(({ answersMs }) => computeQuantile(answersMs, quantile)));
        const formatPercent = (compute: (result: HedgeResult, index: number) => number) =>
            formatSpread(results.map((result, index) => 100 * compute(result, index)));
        rows.push([
            load.name,
            name,
            formatQuantile(0.5),
            formatQuantile(0.99),
            formatQuantile(0.999),
            formatPercent(({ answersMs, requests }) => answersMs.length / requests),
            formatPercent(({ answersMs, requests }) =>
                answersMs.filter(answerMs => load.targetMs === 0 || answerMs <= load.targetMs).length /
                requests
            ),
            formatPercent(({ hedges, requests }) => hedges / requests),
            formatPercent(({ workMs }, index) => workMs / unhedged[index]!.workMs - 1),
        ]);
    }
}
const header = [
    "load",
    "hedging",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "answered %",
    "in target %",
    "hedges %",
    "extra work %",
];
console.log(formatTable(header, rows));
