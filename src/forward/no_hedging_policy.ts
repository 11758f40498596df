import { HedgeVerdict } from "./hedge_verdict.ts";
import type { HedgingPolicy } from "./hedging_policy.ts";

/** Sends no hedge. */
export class NoHedgingPolicy implements HedgingPolicy {
    add(): void {}

    computeDelayMs(): undefined {
        return undefined;
    }

    take(): HedgeVerdict {
        return HedgeVerdict.Share;
    }

    release(): void {}

    recordAnswer(): void {}

    recordUnanswered(): void {}
}
