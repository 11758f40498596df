import type { ServiceConfig } from "../config/service_config.ts";
import type { WorkClass } from "../core/work_class.ts";

/** Places in the queue of a class: half when the service has both classes, so that neither fills the other's half. */
export function computeQueueLimit(service: ServiceConfig, workClass: WorkClass): number {
    const { queueLength } = service.limits;
    const hasBothClasses = service.routes.some(route => route.workClass !== workClass);
    return hasBothClasses ? Math.max(1, Math.floor(queueLength / 2)) : queueLength;
}
