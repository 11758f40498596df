import type { RoutedRequest } from "../route/routed_request.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { HedgeEvent } from "./hedge_event.ts";
import type { HedgeVerdict } from "./hedge_verdict.ts";
import type { OwnerReply } from "./owner_reply.ts";
import type { StopReason } from "./stop_reason.ts";

/** Observes the attempts of this daemon. */
export interface AttemptObserver {
    /** `startMs` is monotonic. */
    recordAttempt(
        selected: SelectedRequest,
        reply: OwnerReply,
        times: { readonly startMs: number; readonly roundTripMs: number; },
    ): void;
    /** Records why no further attempt of a request is made. */
    recordStop(request: RoutedRequest, reason: StopReason, attempts: number): void;
    /** Records what happens to a hedge; `verdict` is the bound that refuses it or that it is allowed. */
    recordHedge(request: RoutedRequest, event: HedgeEvent, verdict: HedgeVerdict): void;
}
