import { readFileSync } from "node:fs";

/** Resident memory of a process in MB (2^20 bytes). */
export function readResidentMb(pid: number): number {
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1]) / 1024;
}
