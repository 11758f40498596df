import type { Upstream } from "../core/upstream.ts";

/** Change of an upstream between two lists; without `before` it was added, without `after` removed. */
export interface UpstreamChange {
    readonly before: Upstream | undefined;
    readonly after: Upstream | undefined;
}
