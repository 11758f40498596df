/**
 * The RPC service `Control`, which other daemons call.
 *
 * @module
 */
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { DocumentName } from "../../gossip/document_name.ts";
import type { GossipHandler } from "../../gossip/gossip_handler.ts";
import type { OwnerIdentity } from "../../operations/owner_identity.ts";
import type { Revoker } from "../../operations/revoker.ts";
import type { StoreChangesSource } from "../../published/store_changes_source.ts";
import { encodeUint32 } from "../encode_uint32.ts";
import { decodeHeadExchange } from "./decode_head_exchange.ts";
import { encodeHeadExchange } from "./encode_head_exchange.ts";

interface ControlRouteOptions {
    readonly identity: OwnerIdentity;
    readonly revoker: Revoker;
    readonly gossip: GossipHandler | undefined;
    /** Undefined when the daemon does not follow a store of the platform. */
    readonly storeChanges: StoreChangesSource | undefined;
}

/** Builds the routes; the handlers only convert between messages and typed values. */
export function createControlRoutes(options: ControlRouteOptions): (router: ConnectRouter) => void {
    const { gossip, identity, revoker, storeChanges } = options;
    return router => {
        router.service(Control, {
            exchangeHeads: message => {
                const exchange = decodeHeadExchange(message.exchange);
                if (gossip === undefined) {
                    throw new ConnectError("this daemon does not exchange documents", Code.Unimplemented);
                }
                if (exchange === undefined) {
                    throw new ConnectError("the exchange has no daemon id", Code.InvalidArgument);
                }
                return { exchange: encodeHeadExchange(gossip.handleExchangeHeads(exchange)) };
            },
            fetchSections: message => {
                const response = gossip?.handleFetchSections({
                    document: message.document as DocumentName,
                    baseVersion: Number(message.baseVersion),
                    baseDigest: message.baseDigest,
                    knownDigests: message.knownDigests,
                });
                if (response === undefined) {
                    throw new ConnectError(`unknown document ${message.document}`, Code.NotFound);
                }
                const { baseUnknown, head, pieces } = response;
                return { head: { ...head, version: BigInt(head.version) }, baseUnknown, pieces: [...pieces] };
            },
            fetchStoreChanges: ({ afterEra, afterRevision }) => {
                const after = { era: afterEra, revision: Number(afterRevision) };
                const changes = storeChanges?.findChanges(after);
                return changes === undefined
                    ? { known: false }
                    : {
                        ...changes,
                        known: true,
                        revision: BigInt(changes.revision.revision),
                        era: changes.revision.era,
                        recoveryMs: encodeUint32(Math.ceil(changes.recoveryMs)),
                        items: [...changes.items],
                    };
            },
            revoke: message => ({
                incarnation: identity.incarnation,
                state: revoker.revoke({
                    requestId: message.requestId,
                    attempt: message.attempt,
                    idempotencyKey: message.idempotencyKey || undefined,
                    incarnation: message.incarnation || undefined,
                }),
            }),
        });
    };
}
