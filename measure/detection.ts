/**
 * Measures fault detection and false ejections in virtual time and prints Markdown tables. Arguments: number of
 * seeds (default 10), name of one deployment, name of one scenario.
 *
 * @example
 * ```sh
 * node --import tsx measure/detection.ts 10 Safai
 * ```
 *
 * @module
 */
import { deployments } from "./detection/deployments.ts";
import type { RunResult } from "./detection/run_result.ts";
import type { Scenario } from "./detection/scenario.ts";
import { ScenarioRun } from "./detection/scenario_run.ts";
import { scenarios } from "./detection/scenarios.ts";

const [seedsText = "10", onlyDeployment = "", onlyScenario = ""] = process.argv.slice(2);
const seeds = Number(seedsText);

function formatSpread(values: readonly (number | undefined)[]): string {
    const known = values.filter(value => value !== undefined).sort((left, right) => left - right);
    const missing = values.length - known.length;
    const never = missing > 0 ? `, never in ${missing}` : "";
    const middle = known[known.length >> 1];
    return middle === undefined
        ? `never in ${missing}`
        : `${Math.round(middle)} (${Math.round(known[0]!)} to ${Math.round(known.at(-1)!)}${never})`;
}

function formatFalseEjections(results: readonly RunResult[]): string {
    const total = results.reduce((sum, { falseEjections }) => sum + falseEjections, 0);
    return `${total} in ${results.filter(({ falseEjections }) => falseEjections > 0).length} seeds`;
}

function formatRow({ name, faultyCount, baseline }: Scenario, results: readonly RunResult[]): string {
    const expectedShare = results.reduce((sum, { expectedAnswerShare }) => sum + expectedAnswerShare, 0) /
        results.length;
    return [
        name,
        baseline ? "baseline" : "zinniaglade",
        faultyCount === 1 ? formatSpread(results.map(({ trafficEndMs }) => trafficEndMs)) : "-",
        faultyCount === 1 ? formatSpread(results.map(({ faultyRequests }) => faultyRequests)) : "-",
        formatFalseEjections(results),
        baseline
            ? "not measured"
            : `${Math.min(...results.map(({ minInRotation }) => minInRotation))}`,
        expectedShare.toFixed(3),
    ].join(" | ");
}

for (const deployment of deployments.filter(({ name }) => onlyDeployment === "" || name === onlyDeployment)) {
    console.log(
        `\n## ${deployment.name}: ${deployment.upstreams} upstreams, floor ${deployment.floor}, ${seeds} seeds\n`,
    );
    console.log(
        "| scenario | selector | out of rotation, ms: median (lowest to highest) | ordinary requests to it"
            + " | false ejections | fewest in rotation | answered as expected |",
    );
    console.log("| --- | --- | --- | --- | --- | --- | --- |");
    for (const scenario of scenarios.filter(({ name }) => onlyScenario === "" || name === onlyScenario)) {
        for (const baseline of [false, true]) {
            const results: RunResult[] = [];
            for (let seed = 1; seed <= seeds; seed += 1) {
                results.push(await new ScenarioRun(deployment, { ...scenario, baseline }, seed).run());
            }
            console.log(`| ${formatRow({ ...scenario, baseline }, results)} |`);
        }
    }
}
