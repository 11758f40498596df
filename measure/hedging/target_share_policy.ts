import { HedgeVerdict } from "../../src/forward/hedge_verdict.ts";
import type { HedgingPolicy } from "../../src/forward/hedging_policy.ts";
import type { RetryBudget } from "../../src/forward/retry_budget.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";

/** Baseline: a hedge after a constant share of the target, bounded by the retry budget only. */
export class TargetSharePolicy implements HedgingPolicy {
    constructor(private readonly budget: RetryBudget) {}

    add(): void {}

    computeDelayMs({ route }: RoutedRequest): number | undefined {
        return route.targetMs > 0 ? 0.6 * route.targetMs : undefined;
    }

    take({ service }: RoutedRequest): HedgeVerdict {
        return this.budget.take(service.name) ? HedgeVerdict.Allowed : HedgeVerdict.RetryBudget;
    }

    release({ service }: RoutedRequest): void {
        this.budget.release(service.name);
    }

    recordAnswer(): void {}

    recordUnanswered(): void {}
}
