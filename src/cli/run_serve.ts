import type { Daemon } from "../daemon.ts";
import { ExitCode } from "./exit_code.ts";
import { formatFailure } from "./format_failure.ts";

interface RunOptions {
    readonly writeError: (line: string) => void;
    /** True when the process exits at the drain timeout with work left, because it would be killed then. */
    readonly exitsAtDrainTimeout?: boolean;
}

/** Runs a daemon until it has been drained by a signal or by an operator; a second signal ends it at once. */
export async function runServe(daemon: Daemon, options: RunOptions): Promise<ExitCode> {
    const started = await daemon.start();
    if (started.isErr()) {
        options.writeError(formatFailure(started.error));
        await daemon.close();
        return ExitCode.Failed;
    }
    await Promise.race([waitForSignal().then(signal => daemon.drain(signal)), daemon.waitForClose()]);
    if (options.exitsAtDrainTimeout === true) {
        await daemon.closeConnections();
        await daemon.closeLog();
        return ExitCode.Ok;
    }
    await daemon.waitForClose();
    await daemon.close();
    return ExitCode.Ok;
}

function waitForSignal(): Promise<string> {
    return new Promise(resolve => {
        for (const signal of ["SIGTERM", "SIGINT"] as const) {
            process.once(signal, () => resolve(signal));
        }
    });
}
