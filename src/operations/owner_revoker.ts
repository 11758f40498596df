import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import { RevokeState } from "../forward/revoke_state.ts";
import type { AttemptTable } from "./attempt_table.ts";
import type { OperationTable } from "./operation_table.ts";
import type { OwnerIdentity } from "./owner_identity.ts";
import { parseKey } from "./parse_key.ts";
import type { RevokeTarget } from "./revoke_target.ts";
import type { Revoker } from "./revoker.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly attempts: AttemptTable;
    readonly operations: OperationTable;
}

/**
 * Answers revocations. `revoked` guarantees that the work will not run. For a request with a key this covers
 * all copies of the request, so it is returned only after the key has been closed in the operation table.
 */
export class OwnerRevoker implements Revoker {
    constructor(private readonly options: Options) {}

    revoke(target: RevokeTarget): RevokeState {
        return target.idempotencyKey === undefined
            ? this.revokeAttempt(target)
            : this.revokeKey(target, target.idempotencyKey);
    }

    private revokeAttempt(target: RevokeTarget): RevokeState {
        const state = this.options.attempts.revoke(target);
        // An earlier incarnation may have dispatched the attempt, which this one cannot know.
        return state === RevokeState.Revoked && target.incarnation !== this.options.identity.incarnation
            ? RevokeState.Unknown
            : state;
    }

    private revokeKey(target: RevokeTarget, keyText: string): RevokeState {
        const { identity, operations } = this.options;
        const key = parseKey(keyText).unwrapOr(undefined);
        if (key?.ownerId !== identity.ownerId || key.incarnation !== identity.incarnation) {
            return RevokeState.Unknown;
        }
        const closed = buildOwnerReply(identity, target, { code: Code.KeyClosed, keyRecorded: true });
        const operation = operations.find(keyText);
        if (operation === undefined) {
            return operations.close(keyText, key, closed).isOk() ? RevokeState.Revoked : RevokeState.Unknown;
        }
        const reply = operation.getReply();
        if (reply !== undefined) {
            return reply.outcome === Outcome.NotExecuted ? RevokeState.Revoked : RevokeState.Finished;
        }
        // A cancelled request does not cancel the operation for another copy of it that still waits.
        if (operation.options.id.requestId !== target.requestId) {
            return RevokeState.Unknown;
        }
        if (operation.options.attempt?.revoke() !== true) {
            return RevokeState.Dispatched;
        }
        operations.recordEnd(operation, closed);
        return RevokeState.Revoked;
    }
}
