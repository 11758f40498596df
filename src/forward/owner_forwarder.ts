import type { SelectedRequest } from "../select/selected_request.ts";
import type { Forwarder } from "./forwarder.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { RevokeState } from "./revoke_state.ts";

interface OwnerForwarderOptions {
    readonly daemonId: string;
    readonly local: Forwarder;
    readonly remote: Forwarder;
}

/**
 * Uses the local forwarder, which saves the hop, for upstreams of this daemon and the remote one for others.
 */
export class OwnerForwarder implements Forwarder {
    constructor(private readonly options: OwnerForwarderOptions) {}

    forward(
        request: SelectedRequest,
        signal: AbortSignal,
        handleUnconfirmed?: () => void,
    ): Promise<OwnerReply> {
        return this.select(request).forward(request, signal, handleUnconfirmed);
    }

    revoke(request: SelectedRequest): Promise<RevokeState> {
        return this.select(request).revoke(request);
    }

    private select(request: SelectedRequest): Forwarder {
        return request.upstream.ownerId === this.options.daemonId ? this.options.local : this.options.remote;
    }
}
