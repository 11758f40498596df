import type { OwnerReply } from "../forward/owner_reply.ts";
import type { AttemptId } from "./attempt_id.ts";
import type { RunningAttempt } from "./running_attempt.ts";

interface Options {
    readonly expiresAtMs: number;
    /** Undefined for an operation that was closed before its request arrived. */
    readonly fingerprint: string | undefined;
    /** Attempt that runs the operation. */
    readonly id: AttemptId;
    readonly attempt: RunningAttempt | undefined;
}

/** Record of one idempotency key. Its first reply is final for all copies of the request. */
export class Operation {
    private reply: OwnerReply | undefined;
    private resolve: (reply: OwnerReply) => void = () => undefined;
    private readonly ended = new Promise<OwnerReply>(resolve => {
        this.resolve = resolve;
    });

    constructor(readonly options: Options) {}

    /** Undefined while the operation runs. */
    getReply(): OwnerReply | undefined {
        return this.reply;
    }

    /** Resolves with the complete reply when the operation ends. */
    wait(): Promise<OwnerReply> {
        return this.ended;
    }

    /** Ends the operation; later copies of the request get `kept`. */
    recordEnd(reply: OwnerReply, kept: OwnerReply): void {
        this.reply = kept;
        this.resolve(reply);
    }

    /** Replaces the reply by one without the answer. */
    removeAnswer(kept: OwnerReply): void {
        this.reply = kept;
    }
}
