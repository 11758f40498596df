/**
 * Withholds an answer whose status would promise the caller that its request has not run when that is not known.
 *
 * An upstream that fails after it has run a payment may answer with any status, 503 among them. The entry daemon knows
 * the outcome of the whole request, so it decides here for answers of local upstreams, of links and of recorded
 * operations alike.
 *
 * @example
 * ```ts
 * const filter = new RefusalStatusFilter({ metrics, refusalStatuses: codec.refusalStatuses, inner: admitted });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { Metrics } from "../core/metrics.ts";
import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { RoutedRequest } from "../route/routed_request.ts";

interface Options {
    readonly metrics: Metrics;
    /** Statuses that promise callers that the request has not run and will not run. */
    readonly refusalStatuses: ReadonlySet<number>;
    /** The filters after the one that routes the request. */
    readonly inner: Filter<RoutedRequest, OwnerReply>;
}

/** Turns such an answer into a failure with its outcome; other replies pass unchanged. */
export class RefusalStatusFilter implements Filter<RoutedRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: RoutedRequest): Promise<Result<OwnerReply, Failure>> {
        const result = await this.options.inner.apply(request);
        return result.map(reply => this.decideReply(request, reply));
    }

    /**
     * The answer to an idempotent request passes: its caller may repeat it whatever the status says, and the answer of
     * the upstream tells more, such as the time after which to return.
     */
    private decideReply({ route }: RoutedRequest, reply: OwnerReply): OwnerReply {
        const { metrics, refusalStatuses } = this.options;
        const { answer, outcome } = reply;
        if (
            answer === undefined || route.idempotent || outcome === Outcome.NotExecuted
            || !refusalStatuses.has(answer.status)
        ) {
            return reply;
        }
        const status = `${answer.status}`;
        metrics.addCount("caller.answer_withheld", { status });
        return {
            ...reply,
            code: Code.UpstreamUnexpected,
            detail:
                `the upstream answered with status ${status} without stating that it has not run the request`,
            answer: undefined,
        };
    }
}
