import type { InFlightRequest } from "../../../src/lifecycle/in_flight_request.ts";
import { Lifecycle } from "../../../src/lifecycle/lifecycle.ts";

/** Mutation: does not count requests in flight, so that a drain closes right after its grace period. */
export class NoRequestCountLifecycle extends Lifecycle {
    override registerRequest(): InFlightRequest | undefined {
        return { close: () => {} };
    }
}
