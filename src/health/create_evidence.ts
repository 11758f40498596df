import type { DispatchedRequest } from "../dispatch/dispatched_request.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { Evidence } from "./evidence.ts";
import { isExpected } from "./is_expected.ts";

interface Options {
    /** Monotonic milliseconds. */
    readonly atMs: number;
    /** Milliseconds of the exchange during which this process was paused. */
    readonly pausedMs: number;
}

/**
 * Evidence from one settled attempt. Undefined when the attempt is no evidence about the upstream: it was not
 * dispatched, was cancelled, or was answered with a status that the route declares as load shedding.
 */
export function createEvidence(request: DispatchedRequest, options: Options): Evidence | undefined {
    const { result, route } = request;
    if (result === undefined || result.kind === UpstreamResultKind.Cancelled) {
        return undefined;
    }
    if (result.answer !== undefined && route.shedStatuses.includes(result.answer.status)) {
        return undefined;
    }
    return {
        upstreamId: request.upstreamId,
        service: request.service.name,
        kind: result.kind,
        expected: result.answer !== undefined && isExpected(result.answer, route.expect),
        serviceMs: Math.max(0, request.serviceMs - options.pausedMs),
        baselineMs: request.baselineMs,
        trial: request.trial,
        atMs: options.atMs,
    };
}
