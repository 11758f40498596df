import type { ServiceConfig } from "./service_config.ts";
import type { ServiceFields } from "./service_fields.ts";

/** Adds the names to the fields of a service and its routes. */
export function buildService(name: string, fields: ServiceFields): ServiceConfig {
    const routes = [...fields.routes].map(([route, routeFields]) => ({
        ...routeFields,
        name: route,
        service: name,
    }));
    return { ...fields, name, routes };
}
