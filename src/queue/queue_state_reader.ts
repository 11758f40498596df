import type { QueueState } from "./queue_state.ts";

/** Provides the state of the queues of this owner. */
export interface QueueStateReader {
    /** Undefined when this daemon does not own the upstream. */
    getState(upstreamId: string): QueueState | undefined;
}
