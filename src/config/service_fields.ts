import type { RouteFields } from "./route_fields.ts";
import type { ServiceConfig } from "./service_config.ts";

/** The fields of a service as the configuration lists them below its name. */
export interface ServiceFields extends Omit<ServiceConfig, "name" | "routes"> {
    readonly routes: ReadonlyMap<string, RouteFields>;
}
