import type { EventLoopTurns } from "./event_loop_turns.ts";

/** Iterations of the Node.js event loop: the callback of `setImmediate` runs after sockets were polled. */
export class ImmediateEventLoopTurns implements EventLoopTurns {
    async wait(count: number): Promise<void> {
        for (let turn = 0; turn < count; turn += 1) {
            await new Promise<void>(resolve => {
                setImmediate(resolve);
            });
        }
    }
}
