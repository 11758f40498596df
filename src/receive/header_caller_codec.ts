/**
 * zinniaglade's own interface for callers.
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
/** A key with an owner identifier of 128 characters takes less than 300. */
const MAX_KEY_LENGTH = 512;
/** Headers that become fields; the owner writes its own values for the upstream. */
const consumedHeaders: ReadonlySet<string> = new Set([
    RequestHeader.Timeout,
    RequestHeader.IdempotencyKey,
    RequestHeader.RequestId,
]);

/** Reads and writes the headers of `RequestHeader`. A caller's own identifier is not used: two may send the same. */
export class HeaderCallerCodec implements CallerCodec {
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

    encodeAnswer(answer: Answer, about: { readonly requestId: string; readonly outcome: Outcome; }): Answer {
        return {
            ...answer,
            headers: [
                ...answer.headers.filter(header => header.name !== RequestHeader.RequestId),
                { name: RequestHeader.RequestId, value: about.requestId },
                { name: RequestHeader.Outcome, value: about.outcome },
            ],
        };
    }

    encodeProblem(failure: Failure, requestId: string): Answer {
        return formatProblem(failure, requestId);
    }
}

/** An earlier copy of a request with a key may have been executed. */
function refuseHeader(detail: string, idempotencyKey: string | undefined): Result<never, Failure> {
    const outcome = idempotencyKey === undefined ? Outcome.NotExecuted : Outcome.Unknown;
    return err(createFailure(Code.BadRequestHeader, { outcome, detail }));
}
