/**
 * Records the organisation of each run, because the calls that a run makes carry no key and belong to it.
 *
 * @example
 * ```ts
 * const owner = new RecordRunFilter({ runs: new RunTable(), inner: queueAndDispatch });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { RunTable } from "./run_table.ts";

interface Options {
    readonly runs: RunTable;
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/** Passes each request to the inner filter. */
export class RecordRunFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const { inner, runs } = this.options;
        runs.add(request.requestId, request.organisation);
        try {
            return await inner.apply(request);
        }
        finally {
            runs.remove(request.requestId);
        }
    }
}
