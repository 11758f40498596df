import type { QueuedWorkReleaser } from "../lifecycle/queued_work_releaser.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import type { QueueFilter } from "./queue_filter.ts";

/** Hands back the work that waits in the queues of all owned upstreams. */
export class QueueReleaser implements QueuedWorkReleaser {
    constructor(private readonly queue: QueueFilter, private readonly upstreams: readonly OwnedUpstream[]) {}

    releaseQueued(): number {
        const queued = this.upstreams.reduce((sum, { id }) => {
            const state = this.queue.getState(id);
            return sum + (state === undefined ? 0 : state.queuedShort + state.queuedLong);
        }, 0);
        this.queue.drain();
        return queued;
    }
}
