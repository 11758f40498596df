/**
 * Measures detection and wrongful ejection in virtual time and prints a Markdown table. Arguments: number of seeds
 * (default 10), name of one deployment,
 * name of one scenario.
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

function formatWrongful(results: readonly RunResult[]): string {
    const total = results.reduce((sum, { wrongful }) => sum + wrongful, 0);
    return `${total} in ${results.filter(({ wrongful }) => wrongful > 0).length} seeds`;
}

function formatRow({ name, faulty, baseline }: Scenario, results: readonly RunResult[]): string {
    const good = results.reduce((sum, { goodShare }) => sum + goodShare, 0) / results.length;
    return [
        name,
        baseline ? "baseline" : "zinniaglade",
        faulty === 1 ? formatSpread(results.map(({ outMs }) => outMs)) : "-",
        faulty === 1 ? formatSpread(results.map(({ faultyRequests }) => faultyRequests)) : "-",
        formatWrongful(results),
        baseline ? "not measured" : `${Math.min(...results.map(({ lowestRotation }) => lowestRotation))}`,
        good.toFixed(3),
    ].join(" | ");
}

for (const deployment of deployments.filter(({ name }) => onlyDeployment === "" || name === onlyDeployment)) {
    console.log(
        `\n## ${deployment.name}: ${deployment.upstreams} upstreams, floor ${deployment.floor}, ${seeds} seeds\n`,
    );
    console.log(
        "| scenario | selector | out of rotation, ms: median (lowest to highest) | ordinary requests to it"
            + " | wrongful ejections | fewest in rotation | answered well |",
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
