import type { Upstream } from "../../src/core/upstream.ts";

/** Upstreams `u0`, `u1` and so on, spread over three failure domains, each with an owner of its own. */
export function buildTestMembers(count: number): Upstream[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `u${index}`,
        service: "payments",
        failureDomain: `domain ${index % 3}`,
        region: "region",
        ownerId: `owner ${index}`,
        ownerAddress: "",
        leaving: false,
    }));
}
