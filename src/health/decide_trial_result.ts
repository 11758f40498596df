import { Code } from "../core/code.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import { isExpected } from "./is_expected.ts";
import { TrialResult } from "./trial_result.ts";

/** Codes by which the owner reports a fault of the upstream. */
const faultCodes: ReadonlySet<Code> = new Set([
    Code.UpstreamRefused,
    Code.UpstreamCut,
    Code.UpstreamTimeout,
    Code.AnswerTooLarge,
]);

/** Decides the result of a trial request from the reply of the upstream's owner. */
export function decideTrialResult(selected: SelectedRequest, reply: OwnerReply): TrialResult {
    const slow = selected.baselineMs > 0 && reply.serviceMs > selected.baselineMs;
    if (faultCodes.has(reply.code)) {
        // A timeout before the baseline shows only that the request had little time left.
        return reply.code === Code.UpstreamTimeout && !slow ? TrialResult.Inconclusive : TrialResult.Failed;
    }
    if (reply.answer === undefined || selected.route.shedStatuses.includes(reply.answer.status)) {
        return TrialResult.Inconclusive;
    }
    return isExpected(reply.answer, selected.route.expect) && !slow
        ? TrialResult.Succeeded
        : TrialResult.Failed;
}
