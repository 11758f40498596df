import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Child processes that have not ended. */
const children = new Set<ChildProcess>();

// Ends the child processes also when this process ends by an exception or by SIGTERM.
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
process.once("SIGTERM", () => process.exit(1));

/** A child process, with the lines that it has printed. */
export class ProcessHandle {
    readonly stdoutLines: string[] = [];
    readonly stderrLines: string[] = [];
    private readonly child: ChildProcess;
    private readonly ended: Promise<number>;

    constructor(
        command: string,
        args: readonly string[],
        environment: Readonly<Record<string, string>> = {},
    ) {
        this.child = spawn(command, args, {
            env: { ...process.env, ...environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        children.add(this.child);
        createInterface({ input: this.child.stdout! }).on("line", line => this.stdoutLines.push(line));
        createInterface({ input: this.child.stderr! }).on("line", line => this.stderrLines.push(line));
        this.ended = new Promise(resolve => {
            this.child.once("exit", code => {
                children.delete(this.child);
                resolve(code ?? -1);
            });
        });
    }

    getPid(): number {
        return this.child.pid ?? 0;
    }

    /** Sends a signal to this process, not to its children. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Resolves with the exit code, or -1 when a signal ended the process. */
    waitForExit(): Promise<number> {
        return this.ended;
    }

    /** Kills the process, also when SIGSTOP has stopped it. */
    async close(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
    }
}
