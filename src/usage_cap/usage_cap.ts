import type { Organisation } from "../config/organisation.ts";
import type { UsageVerdict } from "./usage_verdict.ts";

/** Usage cap of organisations over the whole fleet. Holds no socket, timer or clock. */
export interface UsageCap {
    /** Counts a request of the organisation if its cap allows it; `nowMs` is monotonic. */
    take(organisation: Organisation, nowMs: number): UsageVerdict;
    /** The verdict that `take` would give now; counts nothing. */
    decide(organisation: Organisation, nowMs: number): UsageVerdict;
}
