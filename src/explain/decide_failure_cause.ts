import { Code } from "../core/code.ts";
import { FailureCause } from "./failure_cause.ts";
import type { RequestRecord } from "./request_record.ts";

interface Context {
    /** True when a call that the request made was not served. */
    readonly hasFailedCall: boolean;
    /** True when another upstream of the service was trusted by its owner and had no queue at that time. */
    readonly hasTrusted: (excluded: string, atMs: number) => boolean;
}

/** Fault probability from which on an upstream counts as suspected. */
const suspectedLimit = 0.5;
/** Results of attempts that an upstream has run, or may have run. */
const executedCodes: ReadonlySet<number> = new Set<number>([
    Code.UpstreamUnexpected,
    Code.UpstreamCut,
    Code.UpstreamTimeout,
    Code.UpstreamGarbled,
]);

/** The cause of an unserved request, with the code or reason where there are several. */
export function decideFailureCause(request: RequestRecord, { hasFailedCall, hasTrusted }: Context): string {
    const executed = request.attempts.findLast(({ code }) => executedCodes.has(code));
    if (hasFailedCall) {
        return FailureCause.CallFailed;
    }
    if (executed !== undefined && executed.faultProbability >= suspectedLimit) {
        return hasTrusted(executed.upstream, executed.atMs)
            ? FailureCause.AvoidableFault
            : FailureCause.UnavoidableFault;
    }
    if (executed !== undefined) {
        return request.idempotent
            ? `${FailureCause.NotRetried}: ${request.stopReason}`
            : FailureCause.UnexpectedFault;
    }
    switch (request.code) {
        case Code.CallerCancelled:
            return FailureCause.CallerLeft;
        case Code.DeadlineExceeded:
            return FailureCause.Deadline;
        default:
            return request.ended ? `${FailureCause.Refused}: ${request.code}` : FailureCause.NoEnd;
    }
}
