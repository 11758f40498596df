import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Daemon } from "../daemon.ts";
import { runServe } from "./run_serve.ts";

test("a process that exits at its drain timeout closes connections first, so answers arrive", async () => {
    const steps: string[] = [];
    const recordStep = async (step: string): Promise<void> => void steps.push(step);
    const daemon: Daemon = {
        start: async () => ok(undefined),
        isReady: () => true,
        watchSettings: () => assert.fail("not called"),
        drain: async cause => {
            steps.push(`drain by ${cause}`);
            return ok({ released: 0, inFlight: 0, durationMs: 0 });
        },
        closeConnections: () => recordStep("connections"),
        closeLog: () => recordStep("log"),
        waitForClose: () => new Promise(() => undefined),
        close: () => recordStep("close"),
    };
    const ended = runServe(daemon, { writeError: () => undefined, exitsAtDrainTimeout: true });
    await new Promise(resolve => setImmediate(resolve));
    process.emit("SIGTERM", "SIGTERM");
    await ended;
    assert.deepEqual(steps, ["drain by SIGTERM", "connections", "log"]);
});
