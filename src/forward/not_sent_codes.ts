import { Code } from "../core/code.ts";

/** Results of attempts that no upstream received. */
export const notSentCodes: ReadonlySet<Code> = new Set<Code>([
    Code.NotReady,
    Code.QueueFull,
    Code.WaitTooLong,
    Code.OwnerLeaving,
    Code.NotOwner,
    Code.UnknownRouteAtOwner,
    Code.OwnerOverloaded,
    Code.MemoryShort,
    Code.OrganisationOverShare,
    Code.RetryElsewhere,
    Code.UpstreamSuspected,
    Code.OwnerRestarted,
    Code.UpstreamRefused,
    Code.PeerUnreachable,
]);
