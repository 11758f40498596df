import { computeQueueLimit } from "./compute_queue_limit.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { OwnerRequest } from "./owner_request.ts";

/** True when the organisation of the request holds its full share of the queue of its class. */
export function isOverShare({ organisation, route, service }: OwnerRequest, queue: FairQueue): boolean {
    const limit = computeQueueLimit(service, route.workClass);
    const share = limit * service.limits.organisationPercent / 100;
    return queue.countOrganisation(organisation) >= Math.max(1, Math.floor(share));
}
