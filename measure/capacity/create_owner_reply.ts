import { Code } from "../../src/core/code.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";

/** Creates a reply with a body of `bodyBytes` bytes and `reports` health reports. */
export function createOwnerReply(index: number, bodyBytes: number, reports: number): OwnerReply {
    return {
        requestId: `0123456789abcdef-${index}`,
        attempt: 1,
        ownerId: `daemon-${index % 1_800}`,
        incarnation: "5f3759df18c2a4b7e31",
        code: Code.Ok,
        outcome: Outcome.Executed,
        detail: "",
        answer: {
            status: 200,
            headers: [{ name: "content-type", value: "application/json" }],
            body: new Uint8Array(bodyBytes),
        },
        serviceMs: 20.25,
        waitMs: 3.5,
        upstream: {
            upstreamId: `service-17-${index}`,
            slots: 4,
            running: 2,
            queuedShort: 1,
            queuedLong: 0,
            waitShortMs: 4.25,
            waitLongMs: 60.5,
            healthScore: 0.5,
            leaving: false,
            faultProbability: 0,
        },
        keyRecorded: false,
        healthReports: Array.from({ length: reports }, (_, report) => ({
            upstreamId: `service-${report}-${report}`,
            service: `service-${report}`,
            score: 21.5,
            ageMs: 340.25,
            raisedForMs: 900.5,
        })),
    };
}
