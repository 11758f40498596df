import type { Upstream } from "../../src/core/upstream.ts";

const domains = 31;
const regions = 8;
const services = 1_000;
const daemonShare = 1_800 / 24_000;

/**
 * Builds upstreams in the proportions of the target scale: 1,800 daemons for 24,000 upstreams, 31 failure domains in
 * 8 regions, 1,000 services of 24 upstreams.
 */
export function buildTargetUpstreams(count: number): Upstream[] {
    return Array.from({ length: count }, (_, index) => {
        const daemon = Math.floor(index * daemonShare);
        const domain = daemon % domains;
        return {
            id: `service-${index % services}-${index}`,
            service: `service-${index % services}`,
            failureDomain: `region-${domain % regions}-zone-${domain}`,
            region: `region-${domain % regions}`,
            ownerId: `daemon-${daemon}`,
            ownerAddress: `10.${daemon >> 8}.${daemon & 255}.7:7000`,
            leaving: false,
        };
    });
}
