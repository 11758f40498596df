/**
 * First filter of the owner pipeline: looks up service and route in the active configuration, or builds the
 * route from the terms that the entry daemon sent, and converts the remaining time to a local deadline.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import { createDefaultRoute } from "../config/create_default_route.ts";
import { createDefaultService } from "../config/create_default_service.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { IncomingDispatch } from "./incoming_dispatch.ts";
import type { OwnerRequest } from "./owner_request.ts";

interface ResolveFilterOptions {
    readonly clock: Clock;
    readonly config: ActiveConfigReader;
}

/** Fails with `UnknownRouteAtOwner` as not executed, so that the entry daemon may try another owner. */
export class ResolveRouteFilter implements Filter<IncomingDispatch, OwnerRequest> {
    constructor(private readonly options: ResolveFilterOptions) {}

    apply(incoming: IncomingDispatch): Result<OwnerRequest, Failure> {
        const { elapsedMs = 0, remainingMs, terms, ...rest } = incoming;
        const service = this.options.config.getActive()?.configuration.services.get(incoming.service)
            ?? (terms === undefined ? undefined : createDefaultService(incoming.service));
        const route = terms === undefined
            ? service?.routes.find(candidate => candidate.name === incoming.route)
            : createDefaultRoute({ ...terms, name: incoming.route, service: incoming.service });
        if (service === undefined || route === undefined) {
            return err(createFailure(Code.UnknownRouteAtOwner));
        }
        const nowMs = this.options.clock.getMonotonicMs();
        const receivedAtMs = nowMs - elapsedMs;
        return ok({ ...rest, service, route, receivedAtMs, deadlineMs: nowMs + remainingMs });
    }
}
