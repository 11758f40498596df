import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { UpstreamState } from "../core/upstream_state.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";

interface Options {
    readonly inner: Filter<OwnerRequest, OwnerReply>;
    /** Last received states of the other upstreams of a service in the failure domain of this daemon. */
    readonly listNeighbours: (service: string, upstreamId: string) => readonly UpstreamState[];
}

/**
 * Adds the states of the other local upstreams of the service to replies for entry daemons of other failure
 * domains, because these daemons receive no periodic beacons from this failure domain.
 */
export class NeighbourFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const result = await this.options.inner.apply(request);
        if (request.remote !== true) {
            return result;
        }
        const neighbours = this.options.listNeighbours(request.service.name, request.upstreamId);
        return result.map(reply => ({ ...reply, neighbours }));
    }
}
