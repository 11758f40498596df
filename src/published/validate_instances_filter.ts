import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { InstanceCandidate } from "./instance_candidate.ts";

/** Rejects a list that contains an upstream twice or has an empty field. */
export class ValidateInstancesFilter implements Filter<InstanceCandidate, InstanceCandidate> {
    apply(input: InstanceCandidate): Result<InstanceCandidate, Failure> {
        const seen = new Set<string>();
        for (const upstream of input.list.upstreams) {
            const { id, service, failureDomain, region, ownerId, ownerAddress } = upstream;
            const isComplete = id !== "" && service !== "" && failureDomain !== "" && region !== "" &&
                ownerId !== ""
                && ownerAddress !== "";
            if (!isComplete) {
                return createError(`upstream "${id}" has an empty field`);
            }
            if (seen.has(id)) {
                return createError(`upstream "${id}" is listed twice`);
            }
            seen.add(id);
        }
        return ok(input);
    }
}

function createError(detail: string): Result<never, Failure> {
    return err(createFailure(Code.InstanceListBadValue, { detail }));
}
