import type { Clock } from "../../src/core/clock.ts";
import type { Filter } from "../../src/core/filter.ts";
import type { Forwarder } from "../../src/forward/forwarder.ts";
import type { HedgingPolicy } from "../../src/forward/hedging_policy.ts";
import { NoHedgingPolicy } from "../../src/forward/no_hedging_policy.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { AttemptTable } from "../../src/operations/attempt_table.ts";
import { KeyedOutcomeFilter } from "../../src/operations/keyed_outcome_filter.ts";
import { OperationTable } from "../../src/operations/operation_table.ts";
import type { OwnerIdentity } from "../../src/operations/owner_identity.ts";
import type { Revoker } from "../../src/operations/revoker.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";

/** Creates the unmodified components of a daemon; tests derive variants that lack one mechanism. */
export class DaemonVariant {
    createAttempts(): AttemptTable {
        return new AttemptTable();
    }

    createOperations(clock: Clock): OperationTable {
        return new OperationTable({ clock });
    }

    createDeduplication(
        deduplication: Filter<OwnerRequest, OwnerReply>,
        _: OwnerIdentity,
    ): Filter<OwnerRequest, OwnerReply> {
        return deduplication;
    }

    createEntry(entry: Filter<RoutedRequest, OwnerReply>): Filter<RoutedRequest, OwnerReply> {
        return new KeyedOutcomeFilter(entry);
    }

    createForwarder(forwarder: Forwarder): Forwarder {
        return forwarder;
    }

    createHedging(): HedgingPolicy {
        return new NoHedgingPolicy();
    }

    createRevoker(revoker: Revoker, _: OwnerIdentity): Revoker {
        return revoker;
    }
}
