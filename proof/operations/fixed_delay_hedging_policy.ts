import { HedgeVerdict } from "../../src/forward/hedge_verdict.ts";
import type { HedgingPolicy } from "../../src/forward/hedging_policy.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";

/** Milliseconds; shorter than most exchanges of a run, so that many attempts overlap. */
const delayMs = 15;

/** Hedges each repeatable request after a short time, without a bound. */
export class FixedDelayHedgingPolicy implements HedgingPolicy {
    add(): void {}

    computeDelayMs({ route }: RoutedRequest): number | undefined {
        return route.idempotent ? delayMs : undefined;
    }

    take(): HedgeVerdict {
        return HedgeVerdict.Allowed;
    }

    release(): void {}

    recordAnswer(): void {}

    recordUnanswered(): void {}
}
