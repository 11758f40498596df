import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Started processes that have not ended. */
const children = new Set<ChildProcess>();

// A run that ends by an exception or a signal leaves no process behind.
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
process.once("SIGTERM", () => process.exit(1));

/** A process that a fleet started. */
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

    /** Sends a signal to this process only. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Exit code; -1 after a signal that was not handled. */
    waitForExit(): Promise<number> {
        return this.ended;
    }

    /** Ends the process at once, also when it is stopped. */
    async close(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
    }
}
