import type { RetryBudget } from "../../src/forward/retry_budget.ts";

/** Baseline: no limit on retries. */
export class UnlimitedRetryBudget implements RetryBudget {
    add(): void {}

    has(): boolean {
        return true;
    }

    addRepeat(): void {}

    release(): void {}

    take(): boolean {
        return true;
    }
}
