import type { ServiceConfig } from "../config/service_config.ts";
import type { WorkClass } from "../core/work_class.ts";

/**
 * Maximum number of queued requests of a class. When the service has routes of both classes, each gets half
 * of the queue, so that neither can fill it alone.
 */
export function computeQueueLimit(service: ServiceConfig, workClass: WorkClass): number {
    const { queueLength } = service.limits;
    const hasBothClasses = service.routes.some(route => route.workClass !== workClass);
    return hasBothClasses ? Math.max(1, Math.floor(queueLength / 2)) : queueLength;
}
