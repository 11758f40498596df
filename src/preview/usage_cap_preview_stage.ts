import type { RoutedRequest } from "../route/routed_request.ts";
import type { UsageCap } from "../usage_cap/usage_cap.ts";
import type { PreviewStage } from "./preview_stage.ts";
import type { PreviewVerdict } from "./preview_verdict.ts";

/** Previews the usage cap of an organisation by what this daemon holds of it. */
export class UsageCapPreviewStage implements PreviewStage {
    constructor(private readonly cap: Pick<UsageCap, "decide">) {}

    decide(request: RoutedRequest, nowMs: number): PreviewVerdict {
        const { isCall, organisationConfig: organisation } = request;
        if (organisation === undefined || isCall === true) {
            return { steps: [{ stage: "cap", decision: "not counted", values: {} }], request };
        }
        const { isAllowed, remaining, retryAfterMs } = this.cap.decide(organisation, nowMs);
        const values = {
            organisation: organisation.name,
            requestsPerSecond: organisation.requestsPerSecond,
            burst: organisation.burst,
            // An organisation without a limit has an infinite rest, which JSON cannot hold.
            ...(Number.isFinite(remaining) ? { remaining: Math.floor(remaining) } : {}),
        };
        // A preview asks no other daemon, so it cannot tell whether one would lend an allowance.
        const step = isAllowed
            ? { stage: "cap", decision: "allowed", values }
            : {
                stage: "cap",
                decision: "would ask another daemon for an allowance",
                values: { ...values, retryAfterMs: Math.ceil(retryAfterMs) },
            };
        return { steps: [step], request };
    }
}
