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
 * Answers revocations. `revoked` is a promise that the work will not run: for a request with a key it covers all
 * copies of the request, so it is given only after the key has been closed in the operation table.
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
        // An earlier incarnation may have dispatched the attempt; this one would not know.
        return state === RevokeState.Revoked && target.incarnation !== this.options.identity.incarnation
            ? RevokeState.Unknown
            : state;
    }

    private revokeKey(target: RevokeTarget, text: string): RevokeState {
        const { identity, operations } = this.options;
        const key = parseKey(text).unwrapOr(undefined);
        if (key?.ownerId !== identity.ownerId || key.incarnation !== identity.incarnation) {
            return RevokeState.Unknown;
        }
        const closed = buildOwnerReply(identity, target, { code: Code.KeyClosed, keyRecorded: true });
        const operation = operations.find(text);
        if (operation === undefined) {
            return operations.close(text, key, closed).isOk() ? RevokeState.Revoked : RevokeState.Unknown;
        }
        const reply = operation.getReply();
        if (reply !== undefined) {
            return reply.outcome === Outcome.NotExecuted ? RevokeState.Revoked : RevokeState.Finished;
        }
        // A caller that gives up does not cancel the operation for a copy of the request that still waits.
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
