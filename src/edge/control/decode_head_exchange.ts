import type { Code } from "../../core/code.ts";
import { codeTable } from "../../core/code_table.ts";
import type { HeadExchange as HeadExchangeMessage } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { HeadExchange } from "../../gossip/head_exchange.ts";
import { decodeDocumentHead } from "./decode_document_head.ts";

/** Returns undefined when the message is empty. Unknown heads and codes are left out. */
export function decodeHeadExchange(message: HeadExchangeMessage | undefined): HeadExchange | undefined {
    if (message === undefined || message.daemonId === "") {
        return undefined;
    }
    const { rejected } = message;
    return {
        daemonId: message.daemonId,
        incarnation: message.incarnation,
        heads: message.heads.map(decodeDocumentHead).filter(head => head !== undefined),
        notices: message.notices.map(({ daemonId, incarnation, leaving }) => ({
            daemonId,
            incarnation,
            leaving,
        })),
        healthReports: message.healthReports,
        platformAgeMs: message.platformAgeMs,
        rejected: rejected === undefined || !(rejected.code in codeTable) ? undefined : {
            version: Number(rejected.version),
            digest: rejected.digest,
            code: rejected.code as Code,
            detail: rejected.detail,
            endsAtVersion: Number(rejected.endsAtVersion),
        },
    };
}
