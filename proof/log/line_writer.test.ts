import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const module = new URL("../../src/edge/log/line_writer.ts", import.meta.url).href;
const timers = new URL("../../src/edge/system/system_timers.ts", import.meta.url).href;

/**
 * Writes 40 MB that nobody reads, then reports the longest block of the event loop on standard error. The
 * time that the process waited for a processor is subtracted: with all processors busy it exceeds a second.
 */
const program = `
const { existsSync, readFileSync } = await import("node:fs");
const { LineWriter } = await import(${JSON.stringify(module)});
const { SystemTimers } = await import(${JSON.stringify(timers)});
const writer = new LineWriter({
    fd: 1, timers: new SystemTimers(), formatDropped: lines => JSON.stringify({ dropped: lines }) + "\\n",
});
const line = "x".repeat(999) + "\\n";
const statPath = "/proc/self/schedstat";
const getProcessorWaitMs = () => existsSync(statPath) ? Number(readFileSync(statPath, "utf8").split(" ")[1]) / 1e6 : 0;
let lastMs = performance.now();
let lastWaitMs = getProcessorWaitMs();
let worstMs = 0;
let longestMs = 0;
for (let round = 0; round < 40; round += 1) {
    for (let index = 0; index < 1000; index += 1) writer.write(line);
    await new Promise(resolve => setTimeout(resolve, 25));
    const passedMs = performance.now() - lastMs;
    const waitMs = getProcessorWaitMs();
    worstMs = Math.max(worstMs, passedMs - (waitMs - lastWaitMs));
    longestMs = Math.max(longestMs, passedMs);
    lastMs = performance.now();
    lastWaitMs = waitMs;
}
process.stderr.write("worst " + Math.round(worstMs) + ", with waits for a processor " + Math.round(longestMs) + "\\n");
`;

test("a reader that has stopped neither blocks the daemon nor fills its memory, and drops are counted", async () => {
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", program], {
        cwd: fileURLToPath(new URL("../../", import.meta.url)),
        stdio: ["ignore", "pipe", "pipe"],
    });
    const report = await new Promise<string>(resolve => {
        child.stderr.once("data", (data: Buffer) => resolve(data.toString()));
    });
    const worstMs = Number(/worst (\d+)/.exec(report)?.[1]);
    assert.ok(worstMs < 1_000, `the event loop was blocked for ${report}`);
    let text = "";
    for await (const chunk of child.stdout) {
        text += (chunk as Buffer).toString();
    }
    assert.ok(text.length < 2_000_000, `${text.length} bytes waited for the reader`);
});
