import { mkdirSync, writeFileSync } from "node:fs";
import type { Fleet } from "../../standin/fleet.ts";

const directory = "dist/failed_scenarios";

/** Time-out of each request to a process of the fleet in milliseconds; a stopped process never answers. */
const requestTimeoutMs = 1_000;

interface FailedScenario {
    readonly fleet: Fleet;
    readonly name: string;
    /** Observations of the steps, one line each. */
    readonly observations: readonly string[];
}

/** Writes the observations and the output, status and history of all processes; returns the file name. */
export async function writeLogs({ fleet, name, observations }: FailedScenario): Promise<string> {
    const outputSections = fleet.listProcesses().map(({ name, process }): [string, string] => [
        `${name}, process ${process.getPid()}`,
        [...process.stdoutLines, ...process.stderrLines].join("\n"),
    ]);
    const statuses = fleet.daemons.map(({ adminAddress, id }): [string, string] => [
        `status of ${id}`,
        `http://${adminAddress}/v1/status`,
    ]);
    const histories = fleet.upstreams.map(({ address, id }): [string, string] => [
        `history of ${id}`,
        `http://${address}/control/history`,
    ]);
    const fetchedSections = await Promise.all([...statuses, ...histories].map(fetchSection));
    const sections = [["observations", observations.join("\n")], ...outputSections, ...fetchedSections];
    mkdirSync(directory, { recursive: true });
    const time = new Date().toISOString().replaceAll(/[:.]/g, "-");
    const file = `${directory}/${name.replaceAll(/\W+/g, "_")}_${time}.log`;
    writeFileSync(file, sections.map(([title, text]) => `==> ${title}\n${text}\n`).join("\n"));
    return file;
}

async function fetchSection([title, url]: readonly [string, string]): Promise<[string, string]> {
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(requestTimeoutMs) });
        return [title, await response.text()];
    }
    catch (error) {
        return [title, `no answer: ${(error as Error).message}`];
    }
}
