import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { RevokeState } from "../forward/revoke_state.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { AttemptId } from "./attempt_id.ts";
import type { DispatchGate } from "./dispatch_gate.ts";
import { RecentIdSet } from "./recent_id_set.ts";
import { RunningAttempt } from "./running_attempt.ts";

/**
 * Attempts at this owner: the running ones, the last `capacity` that ended, and tombstones of the last
 * `capacity` that were revoked. Both sets are bounded by count and not by time, because a process that
 * resumes after a pause runs expired timers before it reads the requests that the entries protect against.
 */
export class AttemptTable implements DispatchGate {
    private readonly running = new Map<string, RunningAttempt>();
    private readonly finished: RecentIdSet;
    private readonly tombstones: RecentIdSet;

    /** 16,384 revocations cover 200 s at a daemon's peak of 80 requests per second if all are revoked. */
    constructor(capacity = 16_384) {
        this.finished = new RecentIdSet(capacity);
        this.tombstones = new RecentIdSet(capacity);
    }

    /** Admits an attempt once; a revoked one fails with Revoked, a repeated one with AttemptRepeated. */
    register(id: AttemptId): Result<RunningAttempt, Failure> {
        const name = formatId(id);
        if (this.tombstones.has(name)) {
            return err(createFailure(Code.Revoked));
        }
        if (this.running.has(name) || this.finished.has(name)) {
            return err(createFailure(Code.AttemptRepeated));
        }
        const attempt = new RunningAttempt();
        this.running.set(name, attempt);
        return ok(attempt);
    }

    recordDispatch(request: OwnerRequest): Result<void, Failure> {
        const dispatched = this.running.get(formatId(request))?.recordDispatch() ?? false;
        return dispatched ? ok(undefined) : err(createFailure(Code.Revoked));
    }

    recordEnd(id: AttemptId): void {
        const name = formatId(id);
        this.running.delete(name);
        this.finished.add(name);
    }

    /** Revokes a waiting attempt, or one that has not arrived yet; the tombstone refuses delayed copies. */
    revoke(id: AttemptId): RevokeState {
        const name = formatId(id);
        if (this.tombstones.has(name)) {
            return RevokeState.Revoked;
        }
        if (this.finished.has(name)) {
            return RevokeState.Finished;
        }
        if (this.running.get(name)?.revoke() === false) {
            return RevokeState.Dispatched;
        }
        this.tombstones.add(name);
        return RevokeState.Revoked;
    }
}

function formatId(id: AttemptId): string {
    return `${id.attempt}/${id.requestId}`;
}
