/**
 * Queues attempts at the owner until they get a slot of their upstream.
 *
 * @example
 * ```ts
 * const queue = new QueueFilter({ clock, timers, upstreams, daemonState });
 * const result = await queue.apply(request);
 * if (result.isOk()) {
 *     result.value.permit.close(serviceMs);
 * }
 * ```
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { OwnerRequest } from "./owner_request.ts";
import type { QueueFilterOptions } from "./queue_filter_options.ts";
import type { QueueState } from "./queue_state.ts";
import type { QueueStateReader } from "./queue_state_reader.ts";
import type { ScheduledRequest } from "./scheduled_request.ts";
import { UpstreamQueue } from "./upstream_queue.ts";

/** Gives each request a slot of its upstream, or refuses it with outcome not-executed. */
export class QueueFilter implements Filter<OwnerRequest, ScheduledRequest>, QueueStateReader {
    private readonly queues = new Map<string, UpstreamQueue>();

    constructor(private readonly options: QueueFilterOptions) {}

    async apply(request: OwnerRequest): Promise<Result<ScheduledRequest, Failure>> {
        const queue = this.getQueue(request.upstreamId);
        if (queue === undefined) {
            return err(createFailure(Code.NotOwner));
        }
        const state = this.options.daemonState.getState();
        if (state !== DaemonState.Serving) {
            return err(createFailure(state === DaemonState.Starting ? Code.NotReady : Code.OwnerLeaving));
        }
        return queue.add(request);
    }

    getState(upstreamId: string): QueueState | undefined {
        return this.getQueue(upstreamId)?.getState();
    }

    /** Refuses all queued requests and all later ones with code `OwnerLeaving`. */
    drain(): void {
        for (const queue of this.queues.values()) {
            queue.drain();
        }
    }

    /** Same as `drain`, for one upstream. */
    drainUpstream(upstreamId: string): void {
        this.queues.get(upstreamId)?.drain();
    }

    /**
     * Creates the queue of an owned upstream on first use, and removes that of another one once it is idle.
     */
    private getQueue(upstreamId: string): UpstreamQueue | undefined {
        const upstream = this.options.upstreams.find(upstreamId);
        const existing = this.queues.get(upstreamId);
        if (upstream === undefined) {
            if (existing?.isIdle() === true) {
                this.queues.delete(upstreamId);
            }
            return undefined;
        }
        const queue = existing ?? new UpstreamQueue(upstream, this.options);
        this.queues.set(upstreamId, queue);
        return queue;
    }
}
