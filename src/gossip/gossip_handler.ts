import type { DaemonTable } from "../membership/daemon_table.ts";
import { buildPieces } from "./build_pieces.ts";
import type { Gossip } from "./gossip.ts";
import type { GossipDocument } from "./gossip_document.ts";
import type { HeadExchange } from "./head_exchange.ts";
import type { SectionRequest } from "./section_request.ts";
import type { SectionResponse } from "./section_response.ts";

interface Options {
    readonly gossip: Gossip;
    readonly documents: readonly GossipDocument[];
    readonly membership: DaemonTable;
}

/** Handles gossip requests, independent of their encoding. */
export class GossipHandler {
    constructor(private readonly options: Options) {}

    /** Applies the message and replies with this daemon's heads; fetches newer documents from the sender. */
    handleExchangeHeads(message: HeadExchange): HeadExchange {
        const { gossip, membership } = this.options;
        const address = membership.getDaemons().get(message.daemonId)?.address;
        // A sender that the instance list does not name has no known address to fetch from; it can fetch
        // after the reply.
        const heads = address === undefined ? [] : message.heads;
        void gossip.handleMessage(
            { id: message.daemonId, address: address ?? "" },
            { ...message, heads },
            false,
        );
        return gossip.buildMessage();
    }

    /** Undefined when the document is unknown or this daemon has no version of it. */
    handleFetchSections(request: SectionRequest): SectionResponse | undefined {
        const document = this.options.documents.find(candidate => candidate.name === request.document);
        const head = document?.getHead();
        if (document === undefined || head === undefined || head.version === 0) {
            return undefined;
        }
        const { baseVersion, baseDigest, knownDigests } = request;
        const known = knownDigests.length > 0 || baseVersion === 0
            ? knownDigests
            : document.findBase(baseVersion, baseDigest);
        return known === undefined
            ? { head, baseUnknown: true, pieces: [] }
            : { head, baseUnknown: false, pieces: buildPieces(known, document.getSections()) };
    }
}
