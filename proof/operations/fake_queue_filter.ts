import { err, ok, type Result } from "neverthrow";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { QueueStateReader } from "../../src/queue/queue_state_reader.ts";
import type { QueuedRequest } from "../../src/queue/queued_request.ts";

/** First-in-first-out queue with two slots, that refuses when four requests wait. */
export class FakeQueueFilter implements Filter<OwnerRequest, QueuedRequest>, QueueStateReader {
    private running = 0;
    private waiting: (() => void)[] = [];

    async apply(request: OwnerRequest): Promise<Result<QueuedRequest, Failure>> {
        if (this.running >= 2) {
            if (this.waiting.length >= 4) {
                return err(createFailure(Code.QueueFull));
            }
            await new Promise<void>(resolve => {
                this.waiting.push(resolve);
                request.signal.addEventListener("abort", () => {
                    this.waiting = this.waiting.filter(entry => entry !== resolve);
                    resolve();
                }, { once: true });
            });
        }
        if (request.signal.aborted) {
            return err(createFailure(Code.Revoked));
        }
        this.running += 1;
        return ok({ ...request, waitMs: 0, lease: { close: () => this.release() } });
    }

    getState(upstreamId: string) {
        const queued = { queuedShort: this.waiting.length, queuedLong: 0, waitShortMs: 0, waitLongMs: 0 };
        return { upstreamId, slots: 2, running: this.running, ...queued };
    }

    private release(): void {
        this.running -= 1;
        this.waiting.shift()?.();
    }
}
