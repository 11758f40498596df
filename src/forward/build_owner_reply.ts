import { codeTable } from "../core/code_table.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { OwnerReply } from "./owner_reply.ts";

interface Attempt {
    readonly requestId: string;
    readonly attempt: number;
}

/** Builds the reply to an attempt; all fields but the code default to those of a reply without answer. */
export function buildOwnerReply(
    identity: OwnerIdentity,
    attempt: Attempt,
    fields: Pick<OwnerReply, "code"> & Partial<OwnerReply>,
): OwnerReply {
    const entry = codeTable[fields.code];
    return {
        outcome: entry.outcome,
        detail: entry.summary,
        answer: undefined,
        serviceMs: 0,
        waitMs: 0,
        upstream: undefined,
        ...fields,
        requestId: attempt.requestId,
        attempt: attempt.attempt,
        ownerId: identity.ownerId,
        incarnation: identity.incarnation,
    };
}
