import { create } from "@bufbuild/protobuf";
import { codeTable } from "../../core/code_table.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import { type ReplyHead, ReplyHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import { encodeUint32 } from "../encode_uint32.ts";

/**
 * Encodes the metadata of a reply. The body is sent separately; outcome and detail are omitted when they
 * follow from the code.
 */
export function encodeReply(reply: OwnerReply): ReplyHead {
    const { outcome, summary } = codeTable[reply.code];
    return create(ReplyHeadSchema, {
        requestId: reply.requestId,
        attempt: reply.attempt,
        ownerId: reply.ownerId,
        incarnation: reply.incarnation,
        code: reply.code,
        outcome: reply.outcome === outcome ? "" : reply.outcome,
        detail: reply.detail === summary ? "" : reply.detail,
        status: reply.answer?.status ?? 0,
        headers: (reply.answer?.headers ?? []).map(header => ({ name: header.name, value: header.value })),
        serviceMs: reply.serviceMs,
        waitMs: reply.waitMs,
        retryAfterMs: encodeUint32(Math.ceil(reply.retryAfterMs ?? 0)),
        keyRecorded: reply.keyRecorded ?? false,
        healthReports: (reply.healthReports ?? []).map(report => ({ ...report })),
        neighbours: (reply.neighbours ?? []).map(state => ({ ...state })),
        ...(reply.upstream === undefined ? {} : { upstream: { ...reply.upstream } }),
    });
}
