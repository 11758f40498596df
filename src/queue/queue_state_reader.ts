import type { QueueState } from "./queue_state.ts";

/** Gives the state of the queues at this owner. */
export interface QueueStateReader {
    /** Undefined when this daemon does not own the upstream. */
    getState(upstreamId: string): QueueState | undefined;
}
