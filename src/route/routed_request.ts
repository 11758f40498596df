import type { Organisation } from "../config/organisation.ts";
import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import type { CallerRequest } from "../receive/caller_request.ts";

/** A request with its service, route and deadline. */
export interface RoutedRequest extends CallerRequest {
    readonly service: ServiceConfig;
    readonly route: RouteConfig;
    /** Monotonic milliseconds of this process. */
    readonly deadlineMs: number;
    readonly configVersion: number;
    /** Configuration of the organisation for which the request runs; absent for none. */
    readonly organisationConfig?: Organisation | undefined;
    /** True for a call that a run of an upstream makes. */
    readonly isCall?: boolean;
}
