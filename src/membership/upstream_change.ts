import type { Upstream } from "../core/upstream.ts";

/** Change of one upstream between two instance lists; `before` is undefined when it was added, `after` when removed. */
export interface UpstreamChange {
    readonly before: Upstream | undefined;
    readonly after: Upstream | undefined;
}
