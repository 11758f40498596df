import { Code } from "../core/code.ts";

/** Failures between the daemons, after which no reply of the owner pipeline to the attempt has arrived. */
export const hopFailureCodes: ReadonlySet<Code> = new Set<Code>([
    Code.PeerUnreachable,
    Code.PeerCut,
    Code.PeerTimeout,
    Code.PeerProtocol,
    Code.ReplyMismatch,
]);
