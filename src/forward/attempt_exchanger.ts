import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { codeTable } from "../core/code_table.ts";
import type { Metrics } from "../core/metrics.ts";
import { Outcome } from "../core/outcome.ts";
import type { Timers } from "../core/timers.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import { buildOwnerReply } from "./build_owner_reply.ts";
import type { Forwarder } from "./forwarder.ts";
import type { OwnerReply } from "./owner_reply.ts";
import { RevokeState } from "./revoke_state.ts";
import { waitForAbort } from "./wait_for_abort.ts";
import { waitForTimer } from "./wait_for_timer.ts";

interface Options {
    readonly forwarder: Forwarder;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly metrics: Metrics;
    /** Milliseconds before the deadline for a revocation: a few round trips between failure domains. */
    readonly revokeMs?: number;
}

/** Shared by all requests, because an error with a stack trace for each one is expensive. */
const abortReason = new Error("the attempt was abandoned");

/** Exchanges one attempt with its owner, and determines the outcome of an abandoned one if possible. */
export class AttemptExchanger {
    private readonly revokeMs: number;

    constructor(private readonly options: Options) {
        this.revokeMs = options.revokeMs ?? 50;
    }

    /**
     * Always returns a reply to this attempt, at the deadline at the latest. `handleUnconfirmed` is called
     * when the owner has not confirmed the receipt in time.
     */
    async forward(selected: SelectedRequest, handleUnconfirmed?: () => void): Promise<OwnerReply> {
        const { clock, timers, forwarder } = this.options;
        const { idempotent } = selected.route;
        const hopController = new AbortController();
        let reportUnconfirmed: (unconfirmed: true) => void = () => undefined;
        const unconfirmed = new Promise<true>(resolve => {
            reportUnconfirmed = resolve;
        });
        const replied = forwarder.forward(selected, hopController.signal, () => {
            handleUnconfirmed?.();
            reportUnconfirmed(true);
        }).then(reply => this.checkIdentity(selected, reply));
        const cancelled = waitForAbort(selected.signal);
        const remainingMs = selected.deadlineMs - clock.getMonotonicMs();
        const reserveMs = idempotent ? 0 : Math.min(this.revokeMs, remainingMs / 4);
        const timeout = waitForTimer(timers, remainingMs - reserveMs);
        const completions = [replied, cancelled.done, timeout.done];
        let reply = await Promise.race(idempotent ? completions : [...completions, unconfirmed]);
        if (reply === true) {
            reply = await this.revokeUnconfirmed(selected, replied) ?? await Promise.race(completions);
        }
        const result = reply ?? await this.stopAttempt(selected, replied);
        cancelled.close();
        timeout.close();
        if (reply === undefined || reply.code === Code.PeerTimeout) {
            hopController.abort(abortReason);
        }
        return result;
    }

    /**
     * Asks the owner to revoke an attempt. The outcome is `not-executed` only if the owner replies that the
     * attempt was not and will not be dispatched.
     */
    async revoke(selected: SelectedRequest): Promise<RevokeState> {
        const { clock, timers, forwarder } = this.options;
        const remainingMs = selected.deadlineMs - clock.getMonotonicMs();
        const timeout = waitForTimer(timers, Math.min(this.revokeMs, remainingMs));
        const state = await Promise.race([forwarder.revoke(selected), timeout.done]);
        timeout.close();
        return state ?? RevokeState.NoReply;
    }

    /** Returns a reply if one arrived meanwhile or if the owner revoked the attempt. */
    private async revokeUnconfirmed(
        selected: SelectedRequest,
        replied: Promise<OwnerReply>,
    ): Promise<OwnerReply | undefined> {
        const ended = await Promise.race([this.revoke(selected), replied]);
        if (typeof ended === "object") {
            return ended;
        }
        return ended === RevokeState.Revoked
            ? this.buildReply(selected, Code.PeerTimeout, Outcome.NotExecuted)
            : undefined;
    }

    private async stopAttempt(
        selected: SelectedRequest,
        replied: Promise<OwnerReply>,
    ): Promise<OwnerReply> {
        const { clock, timers } = this.options;
        const code = selected.signal.aborted ? Code.CallerCancelled : Code.DeadlineExceeded;
        if (selected.route.idempotent) {
            return this.buildReply(selected, code, Outcome.Unknown);
        }
        const ended = await Promise.race([this.revoke(selected), replied]);
        if (typeof ended === "object") {
            return ended;
        }
        if (ended === RevokeState.Revoked) {
            return this.buildReply(selected, code, Outcome.NotExecuted);
        }
        // The reply may still arrive before the deadline.
        const timeout = waitForTimer(timers, selected.deadlineMs - clock.getMonotonicMs());
        const lateReply = await Promise.race([replied, timeout.done]);
        timeout.close();
        return lateReply ?? this.buildReply(selected, code, Outcome.Unknown);
    }

    /** Replaces a reply to another request or attempt, which does not tell the outcome of this one. */
    private checkIdentity(selected: SelectedRequest, reply: OwnerReply): OwnerReply {
        if (reply.requestId === selected.requestId && reply.attempt === selected.attempt) {
            return reply;
        }
        this.options.metrics.addCount("reply_mismatch");
        return this.buildReply(selected, Code.ReplyMismatch, Outcome.Unknown);
    }

    private buildReply(selected: SelectedRequest, code: Code, outcome: Outcome): OwnerReply {
        const identity = { ownerId: selected.upstream.ownerId, incarnation: "" };
        const detail = codeTable[code].summary;
        // Only a revocation yields `not-executed` here, and it has closed the key of the request.
        const keyRecorded = outcome === Outcome.NotExecuted && selected.idempotencyKey !== undefined;
        return buildOwnerReply(identity, selected, { code, outcome, detail, keyRecorded });
    }
}
