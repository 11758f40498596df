import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ActiveConfigReader } from "../../src/config/active_config_reader.ts";
import type { Filter } from "../../src/core/filter.ts";
import type { RetryBudget } from "../../src/forward/retry_budget.ts";
import type { OwnedUpstream } from "../../src/queue/owned_upstream.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { OwnerQueue } from "./owner_queue.ts";

/** One variant of queue, admission and retry budget. */
export interface LoadSystem {
    readonly name: string;
    /** False when expired or abandoned work stays queued and runs to its end. */
    readonly cancels: boolean;
    /** True when entry daemons let owners redirect short work that would wait. */
    readonly redirects: boolean;
    createQueue(time: VirtualTime, upstream: OwnedUpstream): OwnerQueue;
    createBudget(time: VirtualTime): RetryBudget;
    createAdmit(time: VirtualTime, config: ActiveConfigReader): Filter<RoutedRequest, RoutedRequest>;
}
