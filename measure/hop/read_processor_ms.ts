import { readFileSync } from "node:fs";

/** Length of one clock tick of /proc in milliseconds on Linux. */
const TICK_MS = 10;

/** Processor time in milliseconds that a process has used, in user and kernel mode. */
export function readProcessorMs(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}
