/**
 * Logs each attempt at its owner: the state of the upstream, the decision of the owner and the answer of the
 * upstream. The log line of the entry daemon lacks these when the link between the daemons fails.
 *
 * @example
 * ```ts
 * const owner = new OwnerLogFilter({ logger, inner: register });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { redirectCodes } from "../forward/redirect_codes.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

interface Options {
    readonly logger: Logger;
    /** Register, queue, dispatch and settle. */
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/** Writes one line for each attempt that reached its owner. */
export class OwnerLogFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const result = await this.options.inner.apply(request);
        if (result.isOk()) {
            this.writeLine(request, result.value);
        }
        return result;
    }

    private writeLine({ attempt, faultLimit, requestId, upstreamId }: OwnerRequest, reply: OwnerReply): void {
        const isRoutine = reply.code === Code.Ok || redirectCodes.has(reply.code);
        this.options.logger.write(isRoutine ? LogLevel.Info : LogLevel.Warn, "owner_attempt", {
            requestId,
            attempt,
            upstream: upstreamId,
            code: reply.code,
            outcome: reply.outcome,
            detail: reply.detail,
            status: reply.answer?.status ?? 0,
            waitMs: Math.round(reply.waitMs),
            serviceMs: Math.round(reply.serviceMs),
            faultLimit: faultLimit ?? 1,
            faultProbability: Number((reply.upstream?.faultProbability ?? 0).toFixed(3)),
            running: reply.upstream?.running ?? 0,
            queued: (reply.upstream?.queuedShort ?? 0) + (reply.upstream?.queuedLong ?? 0),
        });
    }
}
