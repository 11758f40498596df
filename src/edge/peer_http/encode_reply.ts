import { create, toBinary } from "@bufbuild/protobuf";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import { ReplyHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";

/** Value of the reply header: a ReplyHead in base64. The answer's body travels apart. */
export function encodeReply(reply: OwnerReply): string {
    const head = create(ReplyHeadSchema, {
        requestId: reply.requestId,
        attempt: reply.attempt,
        ownerId: reply.ownerId,
        incarnation: reply.incarnation,
        code: reply.code,
        outcome: reply.outcome,
        detail: reply.detail,
        status: reply.answer?.status ?? 0,
        headers: (reply.answer?.headers ?? []).map(header => ({ name: header.name, value: header.value })),
        serviceMs: reply.serviceMs,
        waitMs: reply.waitMs,
        keyRecorded: reply.keyRecorded ?? false,
        healthReports: (reply.healthReports ?? []).map(report => ({ ...report })),
        upstream: reply.upstream === undefined ? undefined : { ...reply.upstream },
    });
    return Buffer.from(toBinary(ReplyHeadSchema, head)).toString("base64");
}
