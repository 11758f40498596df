import type { UsageCapBounds } from "./usage_cap_bounds.ts";

/**
 * Bounds for deployments that set none. The overage covers allowances that are used within their life after they
 * were lent; the slack leaves organisations with a low cap a floor without a lender.
 */
export const defaultUsageCapBounds: UsageCapBounds = { windowMs: 5_000, overage: 0.25, slack: 20 };
