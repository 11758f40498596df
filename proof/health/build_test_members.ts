import type { Upstream } from "../../src/core/upstream.ts";

/** Builds upstreams `u0`, `u1` and so on in three failure domains, each with its own owner. */
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
