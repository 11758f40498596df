import { Code } from "../core/code.ts";

/** Results of attempts that were given up while they ran, so that their answer would have taken longer. */
export const unansweredCodes: ReadonlySet<Code> = new Set<Code>([
    Code.CallerCancelled,
    Code.DeadlineExceeded,
    Code.PeerTimeout,
    Code.UpstreamTimeout,
]);
