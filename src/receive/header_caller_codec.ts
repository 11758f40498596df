/**
 * Codec of zinniaglade's own HTTP interface for callers.
 *
 * @example
 * ```ts
 * const codec = new HeaderCallerCodec();
 * const terms = codec.decode({ method: "GET", host: "", target: "/meters/7", headers: [], body, signal });
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { formatProblem } from "../answer/format_problem.ts";
import type { Answer } from "../core/answer.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { findHeader } from "../core/find_header.ts";
import { Outcome } from "../core/outcome.ts";
import { RequestHeader } from "../core/request_header.ts";
import type { CallerCodec } from "./caller_codec.ts";
import type { IncomingRequest } from "./incoming_request.ts";
import type { RequestMetadata } from "./request_metadata.ts";

const MAX_BUDGET_MS = 3_600_000;
const MAX_IDENTIFIER_LENGTH = 128;
/** A key with an owner identifier of 128 characters has less than 300 characters. */
const MAX_KEY_LENGTH = 512;
/** Headers that become fields of the request; the owner sets its own values for the upstream. */
const consumedHeaders: ReadonlySet<string> = new Set([
    RequestHeader.Timeout,
    RequestHeader.IdempotencyKey,
    RequestHeader.RequestId,
]);

/**
 * Reads and writes the headers of `RequestHeader`. Ignores request identifiers of callers, because two
 * callers may send the same one.
 */
export class HeaderCallerCodec implements CallerCodec {
    /** Empty: the header with the outcome tells callers whether the request has run, and the status does not. */
    readonly refusalStatuses: ReadonlySet<number> = new Set();

    decode({ headers }: IncomingRequest): Result<RequestMetadata, Failure> {
        const idempotencyKey = findHeader(headers, RequestHeader.IdempotencyKey);
        const budget = findHeader(headers, RequestHeader.Timeout);
        const budgetMs = budget === undefined ? undefined : Number(budget);
        if (
            budgetMs !== undefined &&
            !(Number.isInteger(budgetMs) && budgetMs > 0 && budgetMs <= MAX_BUDGET_MS)
        ) {
            return refuseHeader(
                `${RequestHeader.Timeout} must be an integer from 1 to ${MAX_BUDGET_MS}`,
                idempotencyKey,
            );
        }
        const organisation = findHeader(headers, RequestHeader.Organisation) ?? "";
        if (
            organisation.length > MAX_IDENTIFIER_LENGTH ||
            (idempotencyKey?.length ?? 0) > MAX_KEY_LENGTH
        ) {
            return refuseHeader(
                `identifiers are at most ${MAX_IDENTIFIER_LENGTH} characters long, keys ${MAX_KEY_LENGTH}`,
                idempotencyKey,
            );
        }
        return ok({
            requestId: undefined,
            organisation,
            idempotencyKey,
            budgetMs,
            headers: headers.filter(header => !consumedHeaders.has(header.name)),
        });
    }

    encodeAnswer(answer: Answer, reply: { readonly requestId: string; readonly outcome: Outcome; }): Answer {
        return {
            ...answer,
            headers: [
                ...answer.headers.filter(header => header.name !== RequestHeader.RequestId),
                { name: RequestHeader.RequestId, value: reply.requestId },
                { name: RequestHeader.Outcome, value: reply.outcome },
            ],
        };
    }

    encodeProblem(failure: Failure, requestId: string): Answer {
        return formatProblem(failure, requestId);
    }
}

/** With a key the outcome is unknown, because an earlier copy of the request may have been executed. */
function refuseHeader(detail: string, idempotencyKey: string | undefined): Result<never, Failure> {
    const outcome = idempotencyKey === undefined ? Outcome.NotExecuted : Outcome.Unknown;
    return err(createFailure(Code.BadRequestHeader, { outcome, detail }));
}
