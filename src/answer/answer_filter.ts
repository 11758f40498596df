/**
 * Last filter of the entry pipeline: turns the owner's reply into the caller's answer.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Answer } from "../core/answer.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { CallerCodec } from "../receive/caller_codec.ts";

/** Returns a complete answer of the upstream; a reply without one is a failure with its outcome. */
export class AnswerFilter implements Filter<OwnerReply, Answer> {
    constructor(private readonly codec: CallerCodec) {}

    apply(reply: OwnerReply): Result<Answer, Failure> {
        if (reply.answer === undefined) {
            const { code, detail, outcome, retryAfterMs } = reply;
            return err({ code, outcome, detail, retryAfterMs });
        }
        return ok(this.codec.encodeAnswer(reply.answer, reply));
    }
}
