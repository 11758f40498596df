import type { Filter } from "../core/filter.ts";
import type { Revoker } from "../operations/revoker.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import { createHopFailureReply } from "./create_hop_failure_reply.ts";
import type { Forwarder } from "./forwarder.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RevokeState } from "./revoke_state.ts";

interface LocalForwarderOptions {
    readonly owner: Filter<OwnerRequest, OwnerReply>;
    readonly revoker: Revoker;
}

/** Runs the owner pipeline in this process. */
export class LocalForwarder implements Forwarder {
    constructor(private readonly options: LocalForwarderOptions) {}

    async forward(request: SelectedRequest, signal: AbortSignal): Promise<OwnerReply> {
        const result = await this.options.owner.apply({
            requestId: request.requestId,
            attempt: request.attempt,
            upstreamId: request.upstream.id,
            service: request.service,
            route: request.route,
            organisation: request.organisation,
            idempotencyKey: request.idempotencyKey,
            receivedAtMs: request.receivedAtMs,
            deadlineMs: request.deadlineMs,
            ownerIncarnation: request.ownerIncarnation,
            baselineMs: request.baselineMs,
            trial: request.trial,
            redirectable: request.redirectable ?? false,
            repeat: request.repeat ?? false,
            faultLimit: request.faultLimit,
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            signal,
        });
        return result.isOk() ? result.value : createHopFailureReply(request, result.error);
    }

    async revoke(request: SelectedRequest): Promise<RevokeState> {
        return this.options.revoker.revoke({
            requestId: request.requestId,
            attempt: request.attempt,
            idempotencyKey: request.idempotencyKey,
            incarnation: request.ownerIncarnation,
        });
    }
}
