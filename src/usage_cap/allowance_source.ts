import type { Organisation } from "../config/organisation.ts";
import type { UsageVerdict } from "./usage_verdict.ts";

/** Provides allowances for requests that this daemon cannot count against what it holds. */
export interface AllowanceSource {
    /**
     * Counts a request as soon as an allowance is at hand, within `maxWaitMs`. Undefined when the caller has left
     * before; nothing is counted then.
     */
    take(
        organisation: Organisation,
        options: { readonly maxWaitMs: number; readonly signal?: AbortSignal | undefined; },
    ): Promise<UsageVerdict | undefined>;
}
