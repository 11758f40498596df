/**
 * Sends gossip messages to other daemons by Connect RPC.
 *
 * @module
 */
import { createClient } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { HeadExchange } from "../../gossip/head_exchange.ts";
import type { PeerControlClient } from "../../gossip/peer_control_client.ts";
import type { SectionRequest } from "../../gossip/section_request.ts";
import type { SectionResponse } from "../../gossip/section_response.ts";
import { decodeDocumentHead } from "./decode_document_head.ts";
import { decodeHeadExchange } from "./decode_head_exchange.ts";
import { encodeHeadExchange } from "./encode_head_exchange.ts";
import type { TransportCache } from "./transport_cache.ts";

/** Client of `Control.ExchangeHeads` and `Control.FetchSections`. */
export class ConnectPeerControlClient implements PeerControlClient {
    constructor(private readonly transports: TransportCache) {}

    async sendHeads(
        address: string,
        message: HeadExchange,
        timeoutMs: number,
    ): Promise<Result<HeadExchange, Failure>> {
        try {
            const client = createClient(Control, this.transports.get(address));
            const response = await client.exchangeHeads({ exchange: encodeHeadExchange(message) }, {
                timeoutMs,
            });
            const exchange = decodeHeadExchange(response.exchange);
            return exchange === undefined ? err(createFailure(Code.PeerProtocol)) : ok(exchange);
        }
        catch (error) {
            return err(createPeerFailure(address, error));
        }
    }

    async fetchSections(
        address: string,
        request: SectionRequest,
        timeoutMs: number,
    ): Promise<Result<SectionResponse, Failure>> {
        try {
            const client = createClient(Control, this.transports.get(address));
            const response = await client.fetchSections({
                ...request,
                baseVersion: BigInt(request.baseVersion),
                knownDigests: [...request.knownDigests],
            }, { timeoutMs });
            const head = decodeDocumentHead(response.head);
            return head === undefined
                ? err(createFailure(Code.PeerProtocol))
                : ok({ head, baseUnknown: response.baseUnknown, pieces: response.pieces });
        }
        catch (error) {
            return err(createPeerFailure(address, error));
        }
    }
}

function createPeerFailure(address: string, error: unknown): Failure {
    const detail = `${address}: ${error instanceof Error ? error.message : String(error)}`;
    return createFailure(Code.PeerUnreachable, { detail });
}
