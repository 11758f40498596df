/**
 * Tells what would happen to a request now, by the classes that decide about requests, without sending it.
 *
 * @example
 * ```ts
 * const preview = new RequestPreview({ clock, route: new RouteFilter(options), stages });
 * const trace = preview.build({ method: "GET", host: "", target: "/accounts/7" });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { DecisionStep } from "./decision_step.ts";
import type { DecisionTrace } from "./decision_trace.ts";
import type { PreviewQuery } from "./preview_query.ts";
import type { PreviewStage } from "./preview_stage.ts";

interface Options {
    readonly clock: Clock;
    /** Not the filter of the requests: a route that is split between services counts what it routes. */
    readonly route: { apply(request: CallerRequest): Result<RoutedRequest, Failure>; };
    /** The other filters of the entry pipeline, in their order. */
    readonly stages: readonly PreviewStage[];
}

/** Builds the trace of a request. Changes no state of the daemon. */
export class RequestPreview {
    constructor(private readonly options: Options) {}

    build(query: PreviewQuery): DecisionTrace {
        const { clock, route, stages } = this.options;
        const nowMs = clock.getMonotonicMs();
        const routed = route.apply(buildCallerRequest(query, nowMs));
        if (routed.isErr()) {
            const { code, detail } = routed.error;
            return buildRefusal(
                [{ stage: "route", decision: `refused: ${detail}`, values: { code } }],
                routed.error,
            );
        }
        let request = routed.value;
        const steps = [buildRouteStep(request, nowMs)];
        let upstreamId: string | undefined;
        for (const stage of stages) {
            const verdict = stage.decide(request, nowMs);
            steps.push(...verdict.steps);
            if (verdict.failure !== undefined) {
                return buildRefusal(steps, verdict.failure);
            }
            request = verdict.request;
            upstreamId = verdict.upstreamId ?? upstreamId;
        }
        return { steps, upstreamId, code: 0, retryAfterMs: 0 };
    }
}

function buildRefusal(steps: readonly DecisionStep[], { code, retryAfterMs = 0 }: Failure): DecisionTrace {
    return { steps, upstreamId: undefined, code, retryAfterMs };
}

function buildRouteStep(
    { configVersion, deadlineMs, route, service }: RoutedRequest,
    nowMs: number,
): DecisionStep {
    return {
        stage: "route",
        decision: `route ${route.name} of service ${service.name}`,
        values: {
            route: route.name,
            service: service.name,
            repeatable: route.idempotent,
            priority: route.priority,
            targetMs: route.targetMs,
            timeLeftMs: Math.round(deadlineMs - nowMs),
            maxAttempts: route.maxAttempts,
            configVersion,
        },
    };
}

function buildCallerRequest(
    { budgetMs, credential, host, method, target }: PreviewQuery,
    nowMs: number,
): CallerRequest {
    return {
        requestId: "preview",
        method,
        host,
        path: target.split("?", 1)[0] ?? target,
        target,
        headers: [],
        body: new Uint8Array(),
        organisation: "",
        credential,
        idempotencyKey: undefined,
        budgetMs,
        receivedAtMs: nowMs,
        signal: new AbortController().signal,
    };
}
