import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../src/core/clock.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { OwnedUpstream } from "../../src/queue/owned_upstream.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { QueueState } from "../../src/queue/queue_state.ts";
import type { ScheduledRequest } from "../../src/queue/scheduled_request.ts";
import type { OwnerQueue } from "./owner_queue.ts";

interface QueueEntry {
    readonly request: OwnerRequest;
    readonly queuedAtMs: number;
    readonly resolve: (result: Result<ScheduledRequest, Failure>) => void;
}

/** Baseline: one unbounded first-in-first-out queue for all classes and organisations. */
export class FifoQueueFilter implements OwnerQueue {
    private entries: QueueEntry[] = [];
    private headIndex = 0;
    private running = 0;
    private meanMs = 0;

    /** With `dropsExpired`, a request whose deadline has passed is refused at the head of the queue. */
    constructor(
        private readonly clock: Clock,
        private readonly upstream: OwnedUpstream,
        private readonly dropsExpired: boolean,
    ) {}

    apply(request: OwnerRequest): Promise<Result<ScheduledRequest, Failure>> {
        return new Promise(resolve => {
            this.entries.push({ request, queuedAtMs: this.clock.getMonotonicMs(), resolve });
            this.startNext();
        });
    }

    getState(): QueueState {
        const queued = this.entries.length - this.headIndex;
        const waitMs = this.running < this.upstream.slots
            ? 0
            : (queued + 1) * this.meanMs / this.upstream.slots;
        return {
            upstreamId: this.upstream.id,
            slots: this.upstream.slots,
            running: this.running,
            queuedShort: queued,
            queuedLong: 0,
            waitShortMs: waitMs,
            waitLongMs: waitMs,
        };
    }

    private startNext(): void {
        while (this.running < this.upstream.slots && this.headIndex < this.entries.length) {
            const entry = this.entries[this.headIndex++]!;
            const nowMs = this.clock.getMonotonicMs();
            if (this.dropsExpired && nowMs >= entry.request.deadlineMs) {
                entry.resolve(err(createFailure(Code.DeadlineExceeded, { outcome: "not-executed" })));
                continue;
            }
            this.running += 1;
            const permit = { close: (serviceMs: number | undefined) => this.release(serviceMs) };
            entry.resolve(ok({ ...entry.request, permit, waitMs: nowMs - entry.queuedAtMs }));
        }
        if (this.headIndex > 1_000) {
            this.entries = this.entries.slice(this.headIndex);
            this.headIndex = 0;
        }
    }

    private release(serviceMs: number | undefined): void {
        this.running -= 1;
        this.meanMs += 0.1 * ((serviceMs ?? this.meanMs) - this.meanMs);
        this.startNext();
    }
}
