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
}
