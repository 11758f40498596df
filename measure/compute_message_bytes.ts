import type { HeadExchange } from "../src/gossip/head_exchange.ts";
import type { SectionRequest } from "../src/gossip/section_request.ts";
import type { SectionResponse } from "../src/gossip/section_response.ts";

/** Tag and length of a protobuf field shorter than 128 bytes. */
const fieldBytes = 2;
/** Tag and value of a varint field; versions and indexes stay below 2^28. */
const varintBytes = 5;

/** Estimates the protobuf size of a message; each transferred section counts as `sectionBytes`. */
export function computeMessageBytes(
    message: HeadExchange | SectionRequest | SectionResponse,
    sectionBytes: number,
): number {
    if ("heads" in message) {
        const { daemonId, incarnation, heads, notices, rejected } = message;
        const headBytes = heads.reduce(
            (sum, head) => sum + 3 * fieldBytes + head.name.length + varintBytes + head.digest.length,
            0,
        );
        const noticeBytes = notices.reduce(
            (sum, notice) => sum + 4 * fieldBytes + notice.daemonId.length + notice.incarnation.length,
            0,
        );
        const rejectedBytes = rejected === undefined
            ? 0
            : 3 * fieldBytes + 3 * varintBytes + rejected.digest.length + rejected.detail.length;
        return 2 * fieldBytes + varintBytes + daemonId.length + incarnation.length + headBytes + noticeBytes +
            rejectedBytes;
    }
    if ("pieces" in message) {
        const pieceBytes = message.pieces.reduce(
            (sum, { copyCount }) =>
                sum + fieldBytes + 1 + (copyCount > 0 ? 2 * varintBytes : fieldBytes + sectionBytes),
            0,
        );
        return fieldBytes + 3 * fieldBytes + message.head.name.length + varintBytes + 64 + pieceBytes;
    }
    const { document, baseDigest, knownDigests } = message;
    const digestBytes = knownDigests.length * (fieldBytes + 16);
    return 2 * fieldBytes + document.length + varintBytes + baseDigest.length + digestBytes;
}
