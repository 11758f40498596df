import { Code } from "../core/code.ts";

/** Failures between the daemons, where no reply of the owner's register to this attempt has arrived. */
export const hopFailureCodes: ReadonlySet<Code> = new Set<Code>([
    Code.PeerUnreachable,
    Code.PeerCut,
    Code.PeerTimeout,
    Code.PeerProtocol,
    Code.ReplyMismatch,
]);
