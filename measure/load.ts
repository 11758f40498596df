/**
 * Measures queue, admission and retry budget under load in virtual time and prints Markdown tables.
 *
 * @example
 * ```sh
 * node --import tsx measure/load.ts --seeds 1,2,3 --only surge
 * ```
 *
 * @module
 */
import { parseArgs } from "node:util";
import { Code } from "../src/core/code.ts";
import { Outcome } from "../src/core/outcome.ts";
import { buildScenarios } from "./load/build_scenarios.ts";
import { buildSystems } from "./load/build_systems.ts";
import { computeQuantile } from "./load/compute_quantile.ts";
import { formatSpread } from "./load/format_spread.ts";
import { formatTable } from "./load/format_table.ts";
import type { LoadResult } from "./load/load_result.ts";
import type { LoadScenario } from "./load/load_scenario.ts";
import type { LoadSystem } from "./load/load_system.ts";
import { runLoad } from "./load/run_load.ts";

const { values: settings } = parseArgs({
    options: {
        seeds: { type: "string", default: "1,2,3,4,5" },
        /** The only table to print: surge, waiting, reduced or fairness. */
        only: { type: "string", default: "" },
        /** Part of the name of the loads to measure. */
        load: { type: "string", default: "" },
        /** Regular expression that the names of the systems to measure match. */
        system: { type: "string", default: "" },
    },
});
const seeds = settings.seeds.split(",").map(Number);
const { shedVariants, redirectVariants, slotVariants, baselines } = buildSystems();
const { surges, waiting, reduced, fairness } = buildScenarios();

/** Prints one table with a row for each scenario and system; each column is computed for each seed. */
async function writeTable(
    title: string,
    scenarios: readonly LoadScenario[],
    systems: readonly LoadSystem[],
    columns: Readonly<Record<string, (result: LoadResult, scenario: LoadScenario) => number>>,
): Promise<void> {
    const rows: string[][] = [];
    for (const scenario of scenarios.filter(({ name }) => name.includes(settings.load))) {
        for (const system of systems.filter(({ name }) => new RegExp(settings.system).test(name))) {
            const values: number[][] = [];
            for (const seed of seeds) {
                const result = await runLoad(scenario, system, seed);
                values.push(Object.values(columns).map(compute => compute(result, scenario)));
            }
            const cells = Object.keys(columns).map((_, index) =>
                formatSpread(values.map(row => row[index]!))
            );
            rows.push([scenario.name, system.name, ...cells]);
        }
    }
    console.log(`## ${title}\n\n${formatTable(["load", "system", ...Object.keys(columns)], rows)}\n`);
}

function listMeasured(result: LoadResult, scenario: LoadScenario, stream?: string) {
    const { warmUpMs, measuredMs } = scenario;
    return result.requests.filter(entry =>
        entry.sentAtMs >= warmUpMs && entry.sentAtMs < warmUpMs + measuredMs
        && (stream === undefined || entry.stream === stream)
    );
}

function computePercent(part: number, whole: number): number {
    return whole === 0 ? 0 : 100 * part / whole;
}

function computeGoodput(result: LoadResult, scenario: LoadScenario): number {
    const { warmUpMs, measuredMs, upstreams, slots, streams } = scenario;
    const answered = result.requests.filter(entry =>
        entry.answered && entry.endedAtMs >= warmUpMs && entry.endedAtMs < warmUpMs + measuredMs
    );
    const capacity = upstreams * slots * measuredMs / streams[0]!.serviceMs;
    return computePercent(answered.length, capacity);
}

function listRefused(result: LoadResult, scenario: LoadScenario) {
    return listMeasured(result, scenario).filter(entry => entry.outcome === Outcome.NotExecuted);
}

function computeRefusalTimeMs(result: LoadResult, scenario: LoadScenario, quantile: number): number {
    const times = listRefused(result, scenario).map(entry => entry.endedAtMs - entry.sentAtMs);
    return computeQuantile(times, quantile);
}

function computeAnsweredPercent(result: LoadResult, scenario: LoadScenario, stream: string): number {
    const requests = listMeasured(result, scenario, stream);
    return computePercent(requests.filter(entry => entry.answered).length, requests.length);
}

function computeWaitMs(result: LoadResult, stream: string, quantile: number): number {
    return computeQuantile(result.waitsMs.get(stream) ?? [], quantile);
}

function computeRecoveryMs(result: LoadResult, scenario: LoadScenario): number {
    const endMs = scenario.warmUpMs + scenario.measuredMs;
    const failed = result.requests.filter(entry => entry.sentAtMs >= endMs && !entry.answered);
    return failed.reduce((last, entry) => Math.max(last, entry.sentAtMs - endMs), 0);
}

function isSelected(table: string): boolean {
    return settings.only === "" || settings.only === table;
}

if (isSelected("surge")) {
    await writeTable("Demand surge", surges, [...shedVariants, ...baselines], {
        "answered in time, % of capacity": computeGoodput,
        "refused as not executed, % of requests": (result, scenario) =>
            computePercent(listRefused(result, scenario).length, listMeasured(result, scenario).length),
        "no definite answer, % of requests": (result, scenario) =>
            computePercent(
                listMeasured(result, scenario).filter(entry => entry.outcome === Outcome.Unknown).length,
                listMeasured(result, scenario).length,
            ),
        "time to refusal, p50 ms": (result, scenario) => computeRefusalTimeMs(result, scenario, 0.5),
        "p99 ms": (result, scenario) => computeRefusalTimeMs(result, scenario, 0.99),
        "slot time on expired work, %": ({ slotMs }) =>
            computePercent(slotMs.expired, slotMs.expired + slotMs.useful),
        "attempts per request": (result, scenario) => result.attempts / listMeasured(result, scenario).length,
        "wait of started work, p50 ms": result => computeWaitMs(result, "surge", 0.5),
        "last failure after the surge, ms": computeRecoveryMs,
        "executed but reported as not executed": result =>
            result.requests.filter(entry => entry.falselyNotExecuted).length,
    });
}
if (isSelected("waiting")) {
    await writeTable("Short work behind long work", waiting, [...redirectVariants, ...baselines], {
        "wait of short work, median ms": result => computeWaitMs(result, "short", 0.5),
        "p99 ms": result => computeWaitMs(result, "short", 0.99),
        "short answered in time, %": (result, scenario) => computeAnsweredPercent(result, scenario, "short"),
        "attempts per request": (result, scenario) => result.attempts / listMeasured(result, scenario).length,
        "wait of long work, median ms": result => computeWaitMs(result, "long", 0.5),
        "long answered in time, %": (result, scenario) => computeAnsweredPercent(result, scenario, "long"),
    });
}
if (isSelected("fairness")) {
    await writeTable("One organisation sends half of the demand", fairness, [
        ...shedVariants,
        ...baselines,
    ], {
        "other organisations answered in time, %": (result, scenario) =>
            computeAnsweredPercent(result, scenario, "others"),
        "the one organisation answered in time, %": (result, scenario) =>
            computeAnsweredPercent(result, scenario, "one"),
        "all answered in time, % of capacity": computeGoodput,
    });
}
if (isSelected("reduced")) {
    await writeTable("Upstreams below their nominal slots", reduced, slotVariants, {
        "answered in time, % of operations": (result, scenario) =>
            computeAnsweredPercent(result, scenario, "load"),
        "shed by the upstream, % of requests": (result, scenario) =>
            computePercent(
                listMeasured(result, scenario).filter(entry => entry.code === Code.UpstreamShed).length,
                listMeasured(result, scenario).length,
            ),
        "attempts per request": (result, scenario) => result.attempts / listMeasured(result, scenario).length,
    });
}
