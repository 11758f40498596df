import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { DispatchCheck } from "../dispatch/dispatch_check.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { MembershipTable } from "./membership_table.ts";

/** Refuses work for an upstream that the list says is leaving, also work that waited for a slot meanwhile. */
export class LeavingCheck implements DispatchCheck {
    constructor(private readonly membership: MembershipTable) {}

    check({ upstreamId }: OwnerRequest): Failure | undefined {
        return this.membership.isLeaving(upstreamId) ? createFailure(Code.OwnerLeaving) : undefined;
    }
}
