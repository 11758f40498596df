import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { codeTable } from "../../core/code_table.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { Outcome } from "../../core/outcome.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import type { ReplyHead } from "../../gen/zinniaglade/v1/control_pb.ts";

const outcomes: ReadonlySet<string> = new Set(Object.values(Outcome));

/** Decodes the reply of an owner. Fails with PeerProtocol. */
export function decodeReply(head: ReplyHead, body: Uint8Array): Result<OwnerReply, Failure> {
    if (!(head.code in codeTable) || !(head.outcome === "" || outcomes.has(head.outcome))) {
        const detail = `unknown code ${head.code} or outcome ${head.outcome}`;
        return err(createFailure(Code.PeerProtocol, { detail }));
    }
    const code = head.code as Code;
    return ok({
        requestId: head.requestId,
        attempt: head.attempt,
        ownerId: head.ownerId,
        incarnation: head.incarnation,
        code,
        outcome: head.outcome === "" ? codeTable[code].outcome : head.outcome as Outcome,
        detail: head.detail === "" ? codeTable[code].summary : head.detail,
        answer: head.status === 0 ? undefined : { status: head.status, headers: head.headers, body },
        serviceMs: head.serviceMs,
        waitMs: head.waitMs,
        ...(head.retryAfterMs === 0 ? {} : { retryAfterMs: head.retryAfterMs }),
        keyRecorded: head.keyRecorded,
        healthReports: head.healthReports,
        neighbours: head.neighbours,
        upstream: head.upstream,
    });
}
