/**
 * Fetches changes of the platform's store from other daemons by Connect RPC.
 *
 * @module
 */
import { createClient } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { PeerChanges } from "../../published/peer_changes.ts";
import type { StoreRevision } from "../../published/store_revision.ts";
import type { TransportCache } from "./transport_cache.ts";

/** Milliseconds for an answer; the daemon that asks can read the store itself. */
const timeoutMs = 300;

/** Client of `Control.FetchStoreChanges`. */
export class ConnectStorePeerClient {
    constructor(private readonly transports: TransportCache) {}

    /** Fails with PlatformHistoryGone when the other daemon lacks some of the changes, and with PeerUnreachable. */
    async fetchChanges(address: string, after: StoreRevision): Promise<Result<PeerChanges, Failure>> {
        const client = createClient(Control, this.transports.get(address));
        try {
            const response = await client.fetchStoreChanges(
                { afterRevision: BigInt(after.revision), afterEra: after.era },
                { timeoutMs },
            );
            const { complete, era, items, known, recoveryMs, revision, tooLarge } = response;
            return known
                ? ok({ complete, items, recoveryMs, tooLarge, revision: { era, revision: Number(revision) } })
                : err(createFailure(Code.PlatformHistoryGone));
        }
        catch (error) {
            return err(createFailure(Code.PeerUnreachable, { detail: String(error) }));
        }
    }
}
