import { ok, type Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { computeDigest } from "./compute_digest.ts";
import type { InstanceCandidate } from "./instance_candidate.ts";
import type { InstanceList } from "./instance_list.ts";
import type { InstanceListCodec } from "./instance_list_codec.ts";

/** Computes the digest of an instance list from the platform. */
export class DigestInstancesFilter implements Filter<InstanceList, InstanceCandidate> {
    constructor(private readonly codec: InstanceListCodec) {}

    apply(input: InstanceList): Result<InstanceCandidate, Failure> {
        const digest = computeDigest(this.codec.encode(input.upstreams).join(""));
        return ok({ list: input, digest, cause: "platform" });
    }
}
