import { err, ok, type Result } from "neverthrow";
import type { ActiveConfig } from "../config/active_config.ts";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import { buildRouteFinder } from "./build_route_finder.ts";
import type { RouteFinder } from "./route_finder.ts";
import type { RouteMatch } from "./route_match.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { SplitSequence } from "./split_sequence.ts";

interface Options {
    readonly config: ActiveConfigReader;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Adds route, service and deadline to a request, according to the active configuration. */
export class RouteFilter implements Filter<CallerRequest, RoutedRequest> {
    private active: ActiveConfig | undefined;
    private finder: RouteFinder | undefined;
    private sequences = new Map<string, SplitSequence>();

    constructor(private readonly options: Options) {}

    apply(request: CallerRequest): Result<RoutedRequest, Failure> {
        const { clock, config } = this.options;
        const active = config.getActive();
        if (active === undefined) {
            // Other daemons may have a configuration, so the caller need not wait.
            return err(createFailure(Code.NotReady, { retryAfterMs: 0 }));
        }
        const match = this.getFinder(active).find(request);
        if (match.isErr()) {
            const detail = match.error === Code.NoRoute
                ? `no route matches ${request.method} ${request.path}`
                : `no route for ${request.path} has method ${request.method}`;
            return err(createFailure(match.error, { detail }));
        }
        const { route } = match.value;
        if (request.body.length > route.maxRequestBytes) {
            const detail =
                `the body has ${request.body.length} bytes; route ${route.name} allows ${route.maxRequestBytes}`;
            return err(createFailure(Code.RequestTooLarge, { detail }));
        }
        const deadlineMs = request.receivedAtMs + Math.min(request.budgetMs ?? Infinity, route.deadlineMs);
        if (deadlineMs <= clock.getMonotonicMs()) {
            const detail = "the deadline passed before the request was routed";
            return err(createFailure(Code.DeadlineExceeded, { outcome: Outcome.NotExecuted, detail }));
        }
        const service = this.selectService(active, match.value);
        return ok({ ...request, service, route, deadlineMs, configVersion: active.version });
    }

    private selectService(active: ActiveConfig, { route, service }: RouteMatch): ServiceConfig {
        if (route.split.size === 0) {
            return service;
        }
        let sequence = this.sequences.get(route.name);
        if (sequence === undefined) {
            sequence = new SplitSequence(this.options.random.getFloat());
            this.sequences.set(route.name, sequence);
        }
        return active.configuration.services.get(sequence.take(route.split) ?? "") ?? service;
    }

    /** Builds the finder once for each configuration. */
    private getFinder(active: ActiveConfig): RouteFinder {
        if (this.finder === undefined || this.active?.configuration !== active.configuration) {
            this.finder = buildRouteFinder(active.configuration);
            this.active = active;
            this.sequences = new Map();
        }
        return this.finder;
    }
}
