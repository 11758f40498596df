import type { ServiceConfig } from "./service_config.ts";
import { serviceType } from "./table/service_type.ts";

/** A service as YAML and JSON hold it below its name, with every value filled in. */
export function encodeService(service: ServiceConfig): unknown {
    const routes = new Map(service.routes.map(route => [route.name, route]));
    return serviceType.encode({ ...service, routes });
}
