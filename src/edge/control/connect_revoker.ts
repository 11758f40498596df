/**
 * Sends revocations to other daemons by Connect RPC.
 *
 * @module
 */
import { createClient } from "@connectrpc/connect";
import { RevokeState } from "../../forward/revoke_state.ts";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { RevokeTarget } from "../../operations/revoke_target.ts";
import type { TransportCache } from "./transport_cache.ts";

const TIMEOUT_MS = 1_000;
const knownStates: ReadonlySet<string> = new Set(Object.values(RevokeState));

/** Client of `Control.Revoke`. */
export class ConnectRevoker {
    constructor(private readonly transports: TransportCache) {}

    /** Returns `NoReply` when the owner does not reply or its reply has an unknown state. */
    async revoke(address: string, target: RevokeTarget): Promise<RevokeState> {
        const client = createClient(Control, this.transports.get(address));
        try {
            const response = await client.revoke({
                requestId: target.requestId,
                attempt: target.attempt,
                idempotencyKey: target.idempotencyKey ?? "",
                incarnation: target.incarnation ?? "",
            }, { timeoutMs: TIMEOUT_MS });
            return knownStates.has(response.state) ? response.state as RevokeState : RevokeState.NoReply;
        }
        catch {
            return RevokeState.NoReply;
        }
    }
}
