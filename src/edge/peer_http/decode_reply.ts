import { fromBinary } from "@bufbuild/protobuf";
import { err, fromThrowable, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { codeTable } from "../../core/code_table.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { Outcome } from "../../core/outcome.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import { ReplyHeadSchema } from "../../gen/zinniaglade/v1/control_pb.ts";

const decodeHead = fromThrowable(
    (encoded: string) => fromBinary(ReplyHeadSchema, Buffer.from(encoded, "base64")),
    error => createFailure(Code.PeerProtocol, { detail: String(error) }),
);
const outcomes: ReadonlySet<string> = new Set(Object.values(Outcome));

/** Reads the reply header. Fails with PeerProtocol. */
export function decodeReply(encoded: string, body: Uint8Array): Result<OwnerReply, Failure> {
    return decodeHead(encoded).andThen(head => {
        if (!(head.code in codeTable) || !outcomes.has(head.outcome)) {
            return err(
                createFailure(Code.PeerProtocol, {
                    detail: `unknown code ${head.code} or outcome ${head.outcome}`,
                }),
            );
        }
        return ok({
            requestId: head.requestId,
            attempt: head.attempt,
            ownerId: head.ownerId,
            incarnation: head.incarnation,
            code: head.code as Code,
            outcome: head.outcome as Outcome,
            detail: head.detail,
            answer: head.status === 0 ? undefined : { status: head.status, headers: head.headers, body },
            serviceMs: head.serviceMs,
            waitMs: head.waitMs,
            keyRecorded: head.keyRecorded,
            healthReports: head.healthReports,
            upstream: head.upstream,
        });
    });
}
