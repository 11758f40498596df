import { Code } from "../core/code.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { AttemptObserver } from "./attempt_observer.ts";
import { HedgeEvent } from "./hedge_event.ts";
import type { HedgeVerdict } from "./hedge_verdict.ts";
import type { OwnerReply } from "./owner_reply.ts";
import { redirectCodes } from "./redirect_codes.ts";
import { StopReason } from "./stop_reason.ts";

interface Options {
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Logs each attempt: the basis of the selection, the selected upstream and the reply. */
export class AttemptLog implements AttemptObserver {
    constructor(private readonly options: Options) {}

    recordAttempt(
        selected: SelectedRequest,
        reply: OwnerReply,
        { roundTripMs, startMs }: { readonly startMs: number; readonly roundTripMs: number; },
    ): void {
        const { logger, metrics } = this.options;
        const { attempt, basis, requestId, route, service, upstream } = selected;
        metrics.addCount("attempt", { code: `${reply.code}`, outcome: reply.outcome });
        metrics.recordTime("attempt.round_trip", roundTripMs);
        if (reply.code === Code.Ok) {
            metrics.recordTime("attempt.wait", reply.waitMs);
            metrics.recordTime("attempt.service", reply.serviceMs);
        }
        const isRoutine = reply.code === Code.Ok || redirectCodes.has(reply.code);
        logger.write(isRoutine ? LogLevel.Info : LogLevel.Warn, "attempt", {
            requestId,
            attempt,
            service: service.name,
            route: route.name,
            idempotent: route.idempotent,
            priority: route.priority,
            upstream: upstream.id,
            failureDomain: upstream.failureDomain,
            owner: upstream.ownerId,
            ...(basis === undefined ? {} : {
                faultProbability: formatNumber(basis.faultProbability, 3),
                ageMs: formatNumber(basis.ageMs, 0),
                load: formatNumber(basis.load, 2),
                fullProbability: formatNumber(basis.fullProbability, 2),
                candidates: basis.candidates,
                learns: basis.learns,
            }),
            redirectable: selected.redirectable ?? false,
            configVersion: selected.configVersion,
            sinceReceiptMs: formatNumber(startMs - selected.receivedAtMs, 0),
            leftMs: formatNumber(selected.deadlineMs - startMs, 0),
            code: reply.code,
            outcome: reply.outcome,
            detail: reply.detail,
            ...(reply.retryAfterMs === undefined
                ? {}
                : { retryAfterMs: formatNumber(reply.retryAfterMs, 0) }),
            status: reply.answer?.status ?? 0,
            waitMs: formatNumber(reply.waitMs, 0),
            serviceMs: formatNumber(reply.serviceMs, 1),
            roundTripMs: formatNumber(roundTripMs, 0),
            running: reply.upstream?.running ?? -1,
            reportedProbability: formatNumber(reply.upstream?.faultProbability ?? -1, 3),
        });
    }

    recordStop({ requestId, route, service }: RoutedRequest, reason: StopReason, attempts: number): void {
        if (reason === StopReason.Answered) {
            return;
        }
        this.options.logger.write(LogLevel.Info, "attempts_stopped", {
            requestId,
            service: service.name,
            idempotent: route.idempotent,
            reason,
            attempts,
        });
    }

    recordHedge(
        { requestId, route, service }: RoutedRequest,
        event: HedgeEvent,
        verdict: HedgeVerdict,
    ): void {
        const { logger, metrics } = this.options;
        switch (event) {
            case HedgeEvent.Sent:
                metrics.addCount("hedge.sent");
                break;
            case HedgeEvent.Won:
                metrics.addCount("hedge.won");
                break;
            case HedgeEvent.Cancelled:
                metrics.addCount("hedge.cancelled");
                break;
            case HedgeEvent.Refused:
                metrics.addCount("hedge.refused", { bound: verdict });
        }
        logger.write(LogLevel.Info, "hedge", {
            requestId,
            service: service.name,
            route: route.name,
            result: event,
            ...(event === HedgeEvent.Refused ? { bound: verdict } : {}),
        });
    }
}

function formatNumber(value: number, digits: number): number {
    return Number.isFinite(value) ? Number(value.toFixed(digits)) : -1;
}
