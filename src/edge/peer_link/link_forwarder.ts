/**
 * Forwards attempts to other daemons over links.
 *
 * @module
 */
import type { Clock } from "../../core/clock.ts";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { createHopFailureReply } from "../../forward/create_hop_failure_reply.ts";
import type { Forwarder } from "../../forward/forwarder.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import type { RevokeState } from "../../forward/revoke_state.ts";
import type { LinkReply } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import type { RevokeTarget } from "../../operations/revoke_target.ts";
import type { SelectedRequest } from "../../select/selected_request.ts";
import { decodeReply } from "./decode_reply.ts";
import { encodeDispatch } from "./encode_dispatch.ts";
import { PeerLink } from "./peer_link.ts";

/** Asks the owner at `address` to revoke an attempt. */
type SendRevoke = (address: string, target: RevokeTarget) => Promise<RevokeState>;

interface Options {
    readonly clock: Clock;
    readonly sendRevoke: SendRevoke;
    readonly memory: MemoryGuard;
}

/**
 * Milliseconds for an owner to confirm that it has received an attempt. Round trips between regions take up
 * to 40 ms, and a busy process may read its sockets about 100 ms late.
 */
const acceptTimeoutMs = 200;

/** Forwards attempts over one link per owner. */
export class LinkForwarder implements Forwarder {
    private readonly links = new Map<string, PeerLink>();

    constructor(private readonly options: Options) {}

    forward(
        request: SelectedRequest,
        signal: AbortSignal,
        handleUnconfirmed?: () => void,
    ): Promise<OwnerReply> {
        const nowMs = this.options.clock.getMonotonicMs();
        const { ownerAddress } = request.upstream;
        const link = this.getLink(ownerAddress);
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.removeLink(ownerAddress, link);
                handleUnconfirmed?.();
            }, acceptTimeoutMs);
            const reportReply = (reply: OwnerReply): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", cancel);
                resolve(reply);
            };
            const reportFailure = (failure: Failure): void =>
                reportReply(createHopFailureReply(request, failure));
            const sent = link.sendDispatch(encodeDispatch(request, nowMs), request.body, {
                handleAccepted: () => clearTimeout(timer),
                handleReply: reply => reportReply(decodeLinkReply(request, reply)),
                handleFailure: reportFailure,
            });
            const cancel = (): void => {
                sent.map(id => link.cancel(id));
                reportFailure(createFailure(Code.PeerTimeout));
            };
            if (sent.isErr()) {
                reportFailure(sent.error);
                return;
            }
            signal.addEventListener("abort", cancel, { once: true });
            if (signal.aborted) {
                cancel();
            }
        });
    }

    revoke(request: SelectedRequest): Promise<RevokeState> {
        return this.options.sendRevoke(request.upstream.ownerAddress, {
            requestId: request.requestId,
            attempt: request.attempt,
            idempotencyKey: request.idempotencyKey,
            incarnation: request.ownerIncarnation,
        });
    }

    close(): void {
        for (const link of this.links.values()) {
            link.close();
        }
    }

    /**
     * Uses a new connection for the next attempts to an owner, because an open connection can stop delivering
     * data while new ones work. Attempts that are pending on the old one may still be answered.
     */
    private removeLink(address: string, link: PeerLink): void {
        if (this.links.get(address) === link) {
            this.links.delete(address);
        }
        link.closeWhenIdle();
    }

    private getLink(address: string): PeerLink {
        const openLink = this.links.get(address);
        if (openLink !== undefined && !openLink.isClosed()) {
            return openLink;
        }
        const link: PeerLink = new PeerLink(address, this.options.memory, () => {
            if (this.links.get(address) === link) {
                this.links.delete(address);
            }
        });
        this.links.set(address, link);
        return link;
    }
}

function decodeLinkReply(request: SelectedRequest, { body, head }: LinkReply): OwnerReply {
    if (head === undefined) {
        return createHopFailureReply(
            request,
            createFailure(Code.PeerProtocol, { detail: "the reply has no head" }),
        );
    }
    const reply = decodeReply(head, body);
    return reply.isOk() ? reply.value : createHopFailureReply(request, reply.error);
}
