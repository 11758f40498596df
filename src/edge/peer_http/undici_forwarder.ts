/**
 * Forwards attempts to other daemons over HTTP/1.1.
 *
 * @module
 */
import { Agent } from "undici";
import type { Clock } from "../../core/clock.ts";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import { createHopReply } from "../../forward/create_hop_reply.ts";
import type { Forwarder } from "../../forward/forwarder.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import type { RevokeState } from "../../forward/revoke_state.ts";
import type { RevokeTarget } from "../../operations/revoke_target.ts";
import type { SelectedRequest } from "../../select/selected_request.ts";
import { closeBody } from "../http/close_body.ts";
import { hasDeclaredEnd } from "../http/has_declared_end.ts";
import { isConnectError } from "../http/is_connect_error.ts";
import { readBody } from "../http/read_body.ts";
import { decodeReply } from "./decode_reply.ts";
import { encodeDispatch } from "./encode_dispatch.ts";
import { PeerHeader } from "./peer_header.ts";

const CONNECT_TIMEOUT_MS = 500;
/** Below the keep-alive time of the daemons' own listeners. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const CONNECTIONS_PER_OWNER = 64;
const MAX_HEADER_BYTES = 65_536;

/** Asks the owner at `address` to revoke an attempt. */
type SendRevoke = (address: string, target: RevokeTarget) => Promise<RevokeState>;

/** One request for each attempt; a connection carries one request at a time. */
export class UndiciForwarder implements Forwarder {
    private readonly agent = new Agent({
        connections: CONNECTIONS_PER_OWNER,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: 0,
        bodyTimeout: 0,
    });

    constructor(private readonly options: { readonly clock: Clock; readonly sendRevoke: SendRevoke; }) {}

    async forward(request: SelectedRequest, signal: AbortSignal): Promise<OwnerReply> {
        const remainingMs = request.deadlineMs - this.options.clock.getMonotonicMs();
        try {
            const response = await this.agent.request({
                origin: `http://${request.upstream.ownerAddress}`,
                path: "/v1/dispatch",
                method: "POST",
                headers: [PeerHeader.Dispatch, encodeDispatch(request, remainingMs)],
                body: request.body,
                signal,
            });
            const declaredLength = response.headers["content-length"]?.toString();
            const body = await readBody(response.body, request.route.maxAnswerBytes, declaredLength);
            const encoded = response.headers[PeerHeader.Reply];
            const whole = hasDeclaredEnd("POST", response.statusCode, response.headers);
            if (body.isErr() || !whole || typeof encoded !== "string") {
                closeBody(response.body);
                const detail = `unusable reply with status ${response.statusCode}`;
                return createHopReply(request, createFailure(Code.PeerProtocol, { detail }));
            }
            const reply = decodeReply(encoded, body.value);
            return reply.isOk() ? reply.value : createHopReply(request, reply.error);
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            return createHopReply(request, createFailure(selectCode(error, signal), { detail }));
        }
    }

    revoke(request: SelectedRequest): Promise<RevokeState> {
        return this.options.sendRevoke(request.upstream.ownerAddress, {
            requestId: request.requestId,
            attempt: request.attempt,
            idempotencyKey: request.idempotencyKey,
            incarnation: request.ownerIncarnation,
        });
    }

    async close(): Promise<void> {
        await this.agent.close();
    }
}

function selectCode(error: unknown, signal: AbortSignal): Code {
    if (isConnectError(error)) {
        return Code.PeerUnreachable;
    }
    return signal.aborted ? Code.PeerTimeout : Code.PeerCut;
}
