/**
 * First filter of the entry pipeline: gives each request an identifier and reads the headers that zinniaglade
 * understands.
 *
 * @example
 * ```ts
 * const filter = new ReceiveFilter({ clock, random });
 * const request = filter.apply({ method: "GET", target: "/meters/7", headers: [], body, signal });
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { findHeader } from "../core/find_header.ts";
import { Outcome } from "../core/outcome.ts";
import type { RandomSource } from "../core/random_source.ts";
import { RequestHeader } from "../core/request_header.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { IncomingRequest } from "./incoming_request.ts";

const MAX_BUDGET_MS = 3_600_000;
const MAX_IDENTIFIER_LENGTH = 128;
/** A key with an owner identifier of 128 characters takes less than 300. */
const MAX_KEY_LENGTH = 512;
/** Headers that this filter turns into fields; the owner writes its own values for the upstream. */
const consumedHeaders: ReadonlySet<string> = new Set([
    RequestHeader.Timeout,
    RequestHeader.IdempotencyKey,
    RequestHeader.RequestId,
]);

/** Builds a CallerRequest. Fails with BadRequestHeader. */
export class ReceiveFilter implements Filter<IncomingRequest, CallerRequest> {
    constructor(private readonly options: { readonly clock: Clock; readonly random: RandomSource; }) {}

    apply(incoming: IncomingRequest): Result<CallerRequest, Failure> {
        const idempotencyKey = findHeader(incoming.headers, RequestHeader.IdempotencyKey);
        const budget = findHeader(incoming.headers, RequestHeader.Timeout);
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
        const organisation = findHeader(incoming.headers, RequestHeader.Organisation) ?? "";
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
            requestId: this.createRequestId(),
            method: incoming.method,
            path: incoming.target.split("?", 1)[0] ?? incoming.target,
            target: incoming.target,
            headers: incoming.headers.filter(header => !consumedHeaders.has(header.name)),
            body: incoming.body,
            organisation,
            idempotencyKey,
            budgetMs,
            receivedAtMs: this.options.clock.getMonotonicMs(),
            signal: incoming.signal,
        });
    }

    /** 128 random bits in hexadecimal. A caller's own identifier is not used, since two callers may send the same. */
    private createRequestId(): string {
        let identifier = "";
        for (let part = 0; part < 4; part += 1) {
            identifier += Math.floor(this.options.random.take() * 2 ** 32).toString(16).padStart(8, "0");
        }
        return identifier;
    }
}

/** An earlier copy of a request with a key may have been executed. */
function refuseHeader(detail: string, idempotencyKey: string | undefined): Result<never, Failure> {
    const outcome = idempotencyKey === undefined ? Outcome.NotExecuted : Outcome.Unknown;
    return err(createFailure(Code.BadRequestHeader, { outcome, detail }));
}
