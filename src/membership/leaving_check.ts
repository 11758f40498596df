import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { DispatchCheck } from "../dispatch/dispatch_check.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { MembershipTable } from "./membership_table.ts";

/** Refuses work for an upstream that is leaving, or was removed from the list while the work was queued. */
export class LeavingCheck implements DispatchCheck {
    constructor(private readonly membership: MembershipTable) {}

    check({ upstreamId }: OwnerRequest, waitMs: number): Failure | undefined {
        // On arrival the queue checks its own upstreams, which may be newer than the membership table.
        const isGone = waitMs > 0 && this.membership.getVersion() > 0
            && this.membership.find(upstreamId) === undefined;
        return isGone || this.membership.isLeaving(upstreamId) ? createFailure(Code.OwnerLeaving) : undefined;
    }
}
