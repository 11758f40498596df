/**
 * Records the organisation of each run, because the calls that a run makes carry no key and belong to it.
 *
 * @example
 * ```ts
 * const owner = new RecordRunFilter({ runs: new RunTable(), inner: dispatchFilter });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { RunTable } from "./run_table.ts";

interface Options<Request, Output> {
    readonly runs: RunTable;
    readonly inner: Filter<Request, Output>;
}

/** Passes each request to the inner filter, which dispatches it: a queued request makes no calls. */
export class RecordRunFilter<Request extends OwnerRequest, Output> implements Filter<Request, Output> {
    constructor(private readonly options: Options<Request, Output>) {}

    async apply(request: Request): Promise<Result<Output, Failure>> {
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
