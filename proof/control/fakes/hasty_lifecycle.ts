import { Lifecycle } from "../../../src/lifecycle/lifecycle.ts";
import type { RequestLease } from "../../../src/lifecycle/request_lease.ts";

/** Mutation: does not count requests, so that a drain closes at once after its grace period. */
export class HastyLifecycle extends Lifecycle {
    override registerRequest(): RequestLease | undefined {
        return { close: () => {} };
    }
}
