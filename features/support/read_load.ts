import type { Fleet } from "../../standin/fleet.ts";

const PAUSE_MS = 10;

/** Callers that read balances, spread over all daemons, until the load is closed. */
export class ReadLoad {
    private readonly callers: readonly Promise<void>[];
    private running = true;

    constructor(private readonly fleet: Fleet, callers: number) {
        this.callers = Array.from({ length: callers }, (_, caller) => this.runCaller(caller));
    }

    async close(): Promise<void> {
        this.running = false;
        await Promise.all(this.callers);
    }

    private async runCaller(caller: number): Promise<void> {
        const { daemons } = this.fleet;
        while (this.running) {
            const response = await fetch(
                `${daemons[caller % daemons.length]!.callerUrl}/accounts/${caller}/balance`,
            );
            await response.arrayBuffer();
            await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        }
    }
}
