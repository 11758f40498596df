import type { Deployment } from "./deployment.ts";

/** The two deployments of section 1.5 of docs/design.md; the floor is two thirds of the upstreams. */
export const deployments: readonly Deployment[] = [
    {
        name: "Authority",
        service: "payments",
        upstreams: 12,
        slots: 3,
        floor: 8,
        daemons: 27,
        otherReplyRate: 5.5,
        latencyMs: 0.5,
        longPercent: 0,
        serviceTimeSigma: 0.4,
    },
    {
        name: "Safai",
        service: "checklist",
        upstreams: 6,
        slots: 4,
        floor: 4,
        daemons: 24,
        otherReplyRate: 7.5,
        latencyMs: 1.5,
        longPercent: 5,
        serviceTimeSigma: 0.4,
    },
];
