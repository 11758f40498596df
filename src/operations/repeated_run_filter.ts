/**
 * Records which requests run as repeats, because the calls that they make count as repeats too.
 *
 * @example
 * ```ts
 * const owner = new RepeatedRunFilter({ runs: new RepeatedRunTable(), inner: queueAndDispatch });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { RepeatedRunTable } from "./repeated_run_table.ts";

interface Options {
    readonly runs: RepeatedRunTable;
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/** Passes each request to the inner filter. */
export class RepeatedRunFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const { inner, runs } = this.options;
        if (request.repeat !== true) {
            return inner.apply(request);
        }
        runs.add(request.requestId);
        try {
            return await inner.apply(request);
        }
        finally {
            runs.remove(request.requestId);
        }
    }
}
