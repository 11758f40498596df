import type { ServiceConfig } from "./service_config.ts";
import { serviceType } from "./table/service_type.ts";

/** Converts a service, without its name, to plain data for YAML or JSON, including all default values. */
export function encodeService(service: ServiceConfig): unknown {
    const routes = new Map(service.routes.map(route => [route.name, route]));
    return serviceType.encode({ ...service, routes });
}
