/**
 * Measures the latency that the daemons add to a request, compared with direct calls in the same run. Daemons
 * and upstreams are separate processes on loopback; requests start at a fixed rate, for three targets in turn.
 *
 * Usage: `npm run measure:hop [-- REQUESTS_PER_SECOND SECONDS]`
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { Agent } from "node:http";
import { Fleet } from "../standin/fleet.ts";
import { measureRequestMs } from "./hop/measure_request_ms.ts";
import { readProcessorMs } from "./hop/read_processor_ms.ts";
import { readResidentMb } from "./hop/read_resident_mb.ts";

const [rate = 80, seconds = 30] = process.argv.slice(2).map(Number);
const WARM_UP_SECONDS = 20;
const IDLE_MS = 3_000;
const MICROSECONDS_PER_MS = 1_000;

interface Target {
    readonly name: string;
    readonly url: URL;
}

const fleet = await Fleet.start({
    configuration: readFileSync("demo/authority.yaml", "utf8"),
    services: ["accounts"],
    daemons: 2,
    // Direct calls bypass the owner's queue; with few slots the upstream would shed some of them.
    slots: 32,
    failureDomains: ["zone-a", "zone-b"],
    behaviour: { serviceMs: 0 },
});

async function runLoad(targets: readonly Target[], durationMs: number): Promise<Map<string, number[]>> {
    const agent = new Agent({ keepAlive: true });
    const times = new Map(targets.map(target => [target.name, [] as number[]]));
    const pending: Promise<void>[] = [];
    const startMs = performance.now();
    // Each target gets the full rate.
    const stepMs = 1_000 / rate / targets.length;
    for (let index = 0; index * stepMs < durationMs; index += 1) {
        const waitMs = startMs + index * stepMs - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        const { name, url } = targets[index % targets.length]!;
        pending.push(measureRequestMs(url, agent).then(time => void times.get(name)!.push(time)));
    }
    await Promise.all(pending);
    agent.destroy();
    return times;
}

function formatRow(name: string, times: readonly number[], directP99Ms: number): string {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    times.forEach(time => histogram.recordValue(Math.round(time * MICROSECONDS_PER_MS)));
    const [p50, p99, p999] = [50, 99, 99.9].map(percentile =>
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    ) as [number, number, number];
    const added = p99 - directP99Ms;
    return `| ${name} | ${times.length} | ${p50.toFixed(2)} | ${p99.toFixed(2)} | ${p999.toFixed(2)} | ${
        added.toFixed(2)
    } |`;
}

function computeP99Ms(times: readonly number[]): number {
    return [...times].sort((left, right) => left - right)[Math.floor(times.length * 0.99)] ?? 0;
}

try {
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    const pids = fleet.daemons.map(daemon => daemon.process.getPid());
    const idleMb = pids.map(readResidentMb);
    // Only the upstream of daemon-2 is listed, so daemon-1 always forwards and daemon-2 never does.
    await fleet.setInstances(new Set(["accounts-1"]));
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    const path = "/accounts/7/balance";
    const targets: readonly Target[] = [
        { name: "direct", url: new URL(`http://${fleet.upstreams[1]!.address}${path}`) },
        { name: "through the owner", url: new URL(`${fleet.daemons[1]!.callerUrl}${path}`) },
        { name: "through entry and owner", url: new URL(`${fleet.daemons[0]!.callerUrl}${path}`) },
    ];
    await runLoad(targets, WARM_UP_SECONDS * 1_000);
    const before = pids.map(readProcessorMs);
    const times = await runLoad(targets, seconds * 1_000);
    const used = pids.map((pid, index) => readProcessorMs(pid) - before[index]!);
    const directP99Ms = computeP99Ms(times.get("direct")!);
    console.log(`Rate for each target ${rate}/s, ${seconds} s after ${WARM_UP_SECONDS} s of warm-up.\n`);
    console.log("| path | requests | p50 ms | p99 ms | p99.9 ms | added at p99 ms |");
    console.log("| --- | --- | --- | --- | --- | --- |");
    for (const [name, values] of times) {
        console.log(formatRow(name, values, directP99Ms));
    }
    const count = times.get("direct")!.length;
    console.log(
        `\nProcessor time of the entry daemon: ${(used[0]! * 1_000 / count).toFixed(0)} µs a request.`,
    );
    console.log(
        `Processor time of the owner daemon: ${(used[1]! * 1_000 / count / 2).toFixed(0)} µs a request.`,
    );
    console.log(
        `Resident memory idle: ${idleMb.map(mb => mb.toFixed(0)).join(", ")} MB; `
            + `after the run: ${pids.map(pid => readResidentMb(pid).toFixed(0)).join(", ")} MB.`,
    );
}
finally {
    await fleet.close();
}
