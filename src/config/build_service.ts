import type { ServiceConfig } from "./service_config.ts";
import type { ServiceFields } from "./service_fields.ts";

const services = new WeakMap<ServiceFields, ServiceConfig>();

/**
 * Adds the names to the fields of a service and its routes. The same fields give the same object, so that an
 * unchanged service can be recognised by identity.
 */
export function buildService(name: string, fields: ServiceFields): ServiceConfig {
    const known = services.get(fields);
    if (known?.name === name) {
        return known;
    }
    const routes = [...fields.routes].map(([route, routeFields]) => ({
        ...routeFields,
        name: route,
        service: name,
    }));
    const service = { ...fields, name, routes };
    services.set(fields, service);
    return service;
}
