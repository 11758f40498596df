import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

interface Options {
    /** Called when the state of an upstream may have changed. */
    readonly recordChange: () => void;
    /** Deduplication, queue, dispatch and settle. */
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/**
 * Announces a possible change of the state of an upstream when a request has started and when it has ended.
 */
export class AnnounceFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const { inner, recordChange } = this.options;
        const replied = inner.apply(request);
        recordChange();
        const result = await replied;
        recordChange();
        return result;
    }
}
