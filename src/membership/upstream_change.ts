import type { Upstream } from "../core/upstream.ts";

/** Difference of one upstream between two instance lists; one side is undefined when it came or went. */
export interface UpstreamChange {
    readonly before: Upstream | undefined;
    readonly after: Upstream | undefined;
}
