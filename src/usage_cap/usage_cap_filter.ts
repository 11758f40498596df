/**
 * Refuses requests above the usage cap of their organisation.
 *
 * @example
 * ```ts
 * const cap = new UsageCapFilter({ clock, cap: fleetCap, allowances, logger, metrics });
 * const result = await cap.apply(request);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import { Outcome } from "../core/outcome.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AllowanceSource } from "./allowance_source.ts";
import type { FleetUsageCap } from "./fleet_usage_cap.ts";
import { RefusalLog } from "./refusal_log.ts";

interface Options {
    readonly clock: Clock;
    readonly cap: FleetUsageCap;
    readonly allowances: AllowanceSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Longest wait for an allowance: time to ask a few lenders of which some do not answer. */
const maxWaitMs = 200;
/** Share of the remaining time that a request may wait for an allowance. */
const maxWaitShare = 0.125;

/** Counts a request once, before its first attempt; calls of runs are not counted. */
export class UsageCapFilter implements Filter<RoutedRequest, RoutedRequest> {
    private readonly log: RefusalLog;

    constructor(private readonly options: Options) {
        this.log = new RefusalLog(options.logger);
    }

    apply(request: RoutedRequest): Result<RoutedRequest, Failure> | Promise<Result<RoutedRequest, Failure>> {
        const { cap, clock } = this.options;
        const organisation = request.organisationConfig;
        if (organisation === undefined || request.isCall === true) {
            return ok(request);
        }
        return cap.take(organisation, clock.getMonotonicMs()).isAllowed
            ? ok(request)
            : this.wait(request, organisation);
    }

    private async wait(
        request: RoutedRequest,
        organisation: NonNullable<RoutedRequest["organisationConfig"]>,
    ): Promise<Result<RoutedRequest, Failure>> {
        const { allowances, cap, clock, metrics } = this.options;
        const leftMs = request.deadlineMs - clock.getMonotonicMs();
        const { signal } = request;
        const verdict = await allowances.take(organisation, {
            maxWaitMs: Math.min(maxWaitMs, maxWaitShare * leftMs),
            signal,
        });
        if (verdict === undefined) {
            return err(createFailure(Code.CallerCancelled, { outcome: Outcome.NotExecuted }));
        }
        if (verdict.isAllowed) {
            return ok(request);
        }
        const nowMs = clock.getMonotonicMs();
        const { retryAfterMs } = verdict;
        cap.recordRefusal(organisation, nowMs);
        metrics.addCount("usage_cap.refused");
        this.log.record(organisation.name, retryAfterMs, nowMs);
        return err(createFailure(Code.OverUsageCap, { retryAfterMs }));
    }
}
