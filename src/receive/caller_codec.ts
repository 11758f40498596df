import type { Result } from "neverthrow";
import type { Answer } from "../core/answer.ts";
import type { Failure } from "../core/failure.ts";
import type { Outcome } from "../core/outcome.ts";
import type { IncomingRequest } from "./incoming_request.ts";
import type { RequestMetadata } from "./request_metadata.ts";

/** Encodes and decodes the HTTP headers and problem documents of a caller. Makes no decisions. */
export interface CallerCodec {
    /** Statuses that promise on this interface that a request has not run and will not run. */
    readonly refusalStatuses: ReadonlySet<number>;
    /** Fails with BadRequestHeader. */
    decode(incoming: IncomingRequest): Result<RequestMetadata, Failure>;
    /** Adds the identifier of the request and its outcome to an upstream's answer. */
    encodeAnswer(answer: Answer, reply: { readonly requestId: string; readonly outcome: Outcome; }): Answer;
    /** `requestId` is empty when the request was refused before it had one. */
    encodeProblem(failure: Failure, requestId: string): Answer;
}
