import type { QueuedWorkReleaser } from "../lifecycle/queued_work_releaser.ts";
import type { OwnedUpstreamReader } from "./owned_upstream_reader.ts";
import type { QueueFilter } from "./queue_filter.ts";

/** Refuses the queued requests of all owned upstreams. */
export class QueueReleaser implements QueuedWorkReleaser {
    constructor(private readonly queue: QueueFilter, private readonly upstreams: OwnedUpstreamReader) {}

    releaseQueued(): number {
        const queued = this.upstreams.list().reduce((sum, { id }) => {
            const state = this.queue.getState(id);
            return sum + (state === undefined ? 0 : state.queuedShort + state.queuedLong);
        }, 0);
        this.queue.drain();
        return queued;
    }
}
