import type { Upstream } from "../../../src/core/upstream.ts";

/** Builds an upstream whose owner owns no other upstream. */
export function buildUpstream(index: number, options: Partial<Upstream> = {}): Upstream {
    return {
        id: `upstream-${index}`,
        service: "payments",
        failureDomain: `domain-${index % 3}`,
        region: "region-1",
        ownerId: `daemon-${index}`,
        ownerAddress: `10.0.0.${index}:7000`,
        leaving: false,
        ...options,
    };
}
