/**
 * Admission control at the entry daemon.
 *
 * @example
 * ```ts
 * const admit = new AdmitFilter({ clock, config, inFlight, saturation, serviceTimes });
 * const result = admit.apply(request);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { ServiceConfig } from "../config/service_config.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { AdmitFilterOptions } from "./admit_filter_options.ts";

/** Refuses a request before its first attempt when it has little chance to be answered in time. */
export class AdmitFilter implements Filter<RoutedRequest, RoutedRequest> {
    constructor(private readonly options: AdmitFilterOptions) {}

    apply(request: RoutedRequest): Result<RoutedRequest, Failure> {
        const { inFlight, saturation } = this.options;
        const { service } = request;
        if (request.signal.aborted) {
            return this.refuse(Code.CallerCancelled);
        }
        if (!this.hasTimeLeft(request)) {
            return this.refuse(Code.DeadlineExceeded, "the time budget is shorter than the service time");
        }
        if (inFlight.getInFlight(service.name) >= service.limits.entryConcurrency) {
            return this.refuse(Code.EntryOverloaded);
        }
        const saturated = this.listDependencies(service).find(name => saturation.isSaturated(name));
        if (saturated !== undefined) {
            return this.refuse(Code.DependencySaturated, `the service ${saturated} is saturated`);
        }
        return ok(request);
    }

    private hasTimeLeft(request: RoutedRequest): boolean {
        const nowMs = this.options.clock.getMonotonicMs();
        return request.deadlineMs - nowMs >=
            this.options.serviceTimes.computeNeededMs(request.route, 0, nowMs);
    }

    /** All services that the service depends on, directly or through others. */
    private listDependencies(service: ServiceConfig): readonly string[] {
        const services = this.options.config.getActive()?.configuration.services;
        const found = new Set(service.dependsOn);
        for (const name of found) {
            for (const dependency of services?.get(name)?.dependsOn ?? []) {
                found.add(dependency);
            }
        }
        return [...found];
    }

    private refuse(code: Code, detail?: string): Result<RoutedRequest, Failure> {
        const outcome = Outcome.NotExecuted;
        return err(createFailure(code, detail === undefined ? { outcome } : { outcome, detail }));
    }
}
