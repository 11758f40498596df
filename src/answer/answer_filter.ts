/**
 * Last filter of the entry pipeline: turns the owner's reply into the caller's answer.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Answer } from "../core/answer.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { RequestHeader } from "../core/request_header.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";

/** Passes a complete answer of the upstream on; a reply without one is a failure with the reply's outcome. */
export class AnswerFilter implements Filter<OwnerReply, Answer> {
    apply(reply: OwnerReply): Result<Answer, Failure> {
        if (reply.answer === undefined) {
            return err({ code: reply.code, outcome: reply.outcome, detail: reply.detail });
        }
        return ok({
            ...reply.answer,
            headers: [
                ...reply.answer.headers.filter(header => header.name !== RequestHeader.RequestId),
                { name: RequestHeader.RequestId, value: reply.requestId },
                { name: RequestHeader.Outcome, value: reply.outcome },
            ],
        });
    }
}
