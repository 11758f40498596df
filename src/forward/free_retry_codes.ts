import { Code } from "../core/code.ts";

/**
 * Refusals that cost no upstream any work and that the sender then avoids. Repeating them cannot amplify a load
 * peak, so they need no retry budget: an owner that leaves must not cost a caller its request.
 */
export const freeRetryCodes: ReadonlySet<Code> = new Set<Code>([
    Code.NotReady,
    Code.OwnerLeaving,
    Code.NotOwner,
    Code.UnknownRouteAtOwner,
    Code.OwnerRestarted,
    Code.PeerUnreachable,
    // The owner redirects a request twice at most.
    Code.RetryElsewhere,
    Code.UpstreamSuspected,
]);
