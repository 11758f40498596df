/**
 * Runs the entry pipeline for one request of a caller.
 *
 * @example
 * ```ts
 * const handler = new CallerHandler({ receive, serve: route.pipe(admit).pipe(attempt).pipe(answer), ... });
 * const answer = await handler.handle(incoming);
 * ```
 *
 * @module
 */
import type { Answer } from "../core/answer.ts";
import type { Clock } from "../core/clock.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { CallerCodec } from "../receive/caller_codec.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import type { IncomingRequest } from "../receive/incoming_request.ts";

interface CallerHandlerOptions {
    readonly codec: CallerCodec;
    readonly receive: Filter<IncomingRequest, CallerRequest>;
    /** The filters after `receive`. */
    readonly serve: Filter<CallerRequest, Answer>;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Records the failures of requests from this instance. */
    readonly callFailures: { record(nowMs: number): void; };
}

const firstServerErrorStatus = 500;

/** Answers every request, with the answer of the upstream or with a problem document. */
export class CallerHandler {
    constructor(private readonly options: CallerHandlerOptions) {}

    async handle(incoming: IncomingRequest): Promise<Answer> {
        const startMs = this.options.clock.getMonotonicMs();
        const received = await this.options.receive.apply(incoming);
        if (received.isErr()) {
            return this.options.codec.encodeProblem(received.error, "");
        }
        const request = received.value;
        const result = await this.options.serve.apply(request);
        const endMs = this.options.clock.getMonotonicMs();
        const durationMs = endMs - startMs;
        if (result.isErr() || result.value.status >= firstServerErrorStatus) {
            this.options.callFailures.record(endMs);
        }
        this.options.metrics.recordTime("caller.request", durationMs);
        const { requestId } = request;
        if (result.isOk()) {
            this.options.metrics.addCount("caller.answer", { status: `${result.value.status}` });
            this.options.logger.write(LogLevel.Info, "request_answered", {
                requestId,
                status: result.value.status,
                durationMs: Math.round(durationMs),
            });
            return result.value;
        }
        const { code, outcome, detail, retryAfterMs } = result.error;
        this.options.metrics.addCount("caller.problem", { code: `${code}`, outcome });
        this.options.logger.write(LogLevel.Warn, "request_failed", {
            requestId,
            durationMs: Math.round(durationMs),
            code,
            outcome,
            detail,
            ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }),
        });
        return this.options.codec.encodeProblem(result.error, request.requestId);
    }
}
