import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { Upstream } from "../core/upstream.ts";

/** Canonical text of an instance list, one section for each daemon; equal lists give equal texts. */
export interface InstanceListCodec {
    encode(upstreams: readonly Upstream[]): readonly string[];
    decode(sections: readonly string[]): Result<readonly Upstream[], Failure>;
}
