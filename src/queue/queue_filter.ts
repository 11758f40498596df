/**
 * The owner's queues as a filter: the output holds a slot of its upstream.
 *
 * @example
 * ```ts
 * const queue = new QueueFilter({ clock, timers, upstreams, daemonState });
 * const result = await queue.apply(request);
 * if (result.isOk()) {
 *     result.value.lease.close(serviceMs);
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
import type { QueuedRequest } from "./queued_request.ts";
import { UpstreamQueue } from "./upstream_queue.ts";

/** Gives each request a slot of its upstream, or refuses it with outcome not-executed. */
export class QueueFilter implements Filter<OwnerRequest, QueuedRequest>, QueueStateReader {
    private readonly queues: ReadonlyMap<string, UpstreamQueue>;

    constructor(private readonly options: QueueFilterOptions) {
        this.queues = new Map(
            options.upstreams.map(upstream => [upstream.id, new UpstreamQueue(upstream, options)]),
        );
    }

    async apply(request: OwnerRequest): Promise<Result<QueuedRequest, Failure>> {
        const queue = this.queues.get(request.upstreamId);
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
        return this.queues.get(upstreamId)?.getState();
    }

    /** Hands back all work that has not started, and refuses later work, with code `OwnerLeaving`. */
    drain(): void {
        for (const queue of this.queues.values()) {
            queue.drain();
        }
    }

    /** Like `drain` for one upstream. */
    drainUpstream(upstreamId: string): void {
        this.queues.get(upstreamId)?.drain();
    }
}
