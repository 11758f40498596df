import { err, ok, type Result } from "neverthrow";
import type { ActiveConfig } from "../config/active_config.ts";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import { RouteTable } from "./route_table.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Gives a request its route of the active configuration and its deadline. */
export class RouteFilter implements Filter<CallerRequest, RoutedRequest> {
    private active: ActiveConfig | undefined;
    private table: RouteTable | undefined;

    constructor(private readonly configs: ActiveConfigReader, private readonly clock: Clock) {}

    apply(request: CallerRequest): Result<RoutedRequest, Failure> {
        const active = this.configs.getActive();
        if (active === undefined) {
            return err(createFailure(Code.NotReady));
        }
        const match = this.getTable(active).find(request.method, request.path);
        if (match.isErr()) {
            const detail = match.error === Code.NoRoute
                ? `no route matches ${request.method} ${request.path}`
                : `no route for ${request.path} has method ${request.method}`;
            return err(createFailure(match.error, { detail }));
        }
        const { service, route } = match.value;
        if (request.body.length > route.maxRequestBytes) {
            const detail =
                `the body has ${request.body.length} bytes; route ${route.name} allows ${route.maxRequestBytes}`;
            return err(createFailure(Code.RequestTooLarge, { detail }));
        }
        const deadlineMs = request.receivedAtMs + Math.min(request.budgetMs ?? Infinity, route.deadlineMs);
        if (deadlineMs <= this.clock.getMonotonicMs()) {
            const detail = "the deadline passed before the request was routed";
            return err(createFailure(Code.DeadlineExceeded, { outcome: Outcome.NotExecuted, detail }));
        }
        return ok({ ...request, service, route, deadlineMs, configVersion: active.version });
    }

    /** Compiles the table once for each configuration. */
    private getTable(active: ActiveConfig): RouteTable {
        if (this.table === undefined || this.active?.configuration !== active.configuration) {
            this.table = new RouteTable(active.configuration);
            this.active = active;
        }
        return this.table;
    }
}
