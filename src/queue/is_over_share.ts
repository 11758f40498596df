import { computeQueueLimit } from "./compute_queue_limit.ts";
import type { OwnerRequest } from "./owner_request.ts";
import type { PriorityQueue } from "./priority_queue.ts";

/** True when the organisation already has its full share of queued requests of the work class. */
export function isOverShare({ organisation, route, service }: OwnerRequest, queue: PriorityQueue): boolean {
    const limit = computeQueueLimit(service, route.workClass);
    const share = limit * service.limits.organisationPercent / 100;
    return queue.countOrganisation(organisation) >= Math.max(1, Math.floor(share));
}
