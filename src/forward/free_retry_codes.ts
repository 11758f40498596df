import { Code } from "../core/code.ts";

/**
 * Refusals that cause no load on an upstream, and whose upstream the entry daemon avoids afterwards. Retries
 * after them cannot amplify a load peak, so they need no retry budget; otherwise a leaving owner could make
 * requests fail.
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
