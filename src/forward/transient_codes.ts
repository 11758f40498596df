import { Code } from "../core/code.ts";

/** Failures of one upstream or one hop that another attempt may avoid. */
export const transientCodes: ReadonlySet<Code> = new Set<Code>([
    Code.NotReady,
    Code.QueueFull,
    Code.WaitTooLong,
    Code.OwnerLeaving,
    Code.NotOwner,
    Code.UnknownRouteAtOwner,
    Code.OwnerOverloaded,
    Code.MemoryShort,
    Code.RetryElsewhere,
    Code.OwnerRestarted,
    Code.UpstreamRefused,
    Code.UpstreamShed,
    Code.UpstreamCut,
    Code.UpstreamTimeout,
    Code.UpstreamUnexpected,
    Code.UpstreamReplaced,
    Code.UpstreamGarbled,
    Code.UpstreamSuspected,
    Code.PeerUnreachable,
    Code.PeerCut,
    Code.PeerTimeout,
    Code.PeerProtocol,
    Code.ReplyMismatch,
]);
