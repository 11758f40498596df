import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { InstanceCandidate } from "../published/instance_candidate.ts";
import type { MembershipTable } from "./membership_table.ts";

/** Merges a valid list into the membership table; the output is false when it was already in force. */
export class MergeInstancesFilter implements Filter<InstanceCandidate, boolean> {
    constructor(private readonly membership: MembershipTable) {}

    apply(input: InstanceCandidate): Result<boolean, Failure> {
        return this.membership.merge(input.list, input.digest, input.cause);
    }
}
