import assert from "node:assert/strict";
import { test } from "node:test";
import { buildService } from "../../proof/fakes/build_service.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import type { Upstream } from "../core/upstream.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { SaturationTable } from "./saturation_table.ts";

function buildReply(upstreamId: string, code: Code, waitMs: number): OwnerReply {
    return {
        requestId: "r1",
        attempt: 1,
        ownerId: "d1",
        incarnation: "i1",
        code,
        outcome: Outcome.NotExecuted,
        detail: "",
        answer: undefined,
        serviceMs: 0,
        waitMs: 0,
        upstream: {
            upstreamId,
            slots: 1,
            running: 1,
            queuedShort: 0,
            queuedLong: 0,
            waitShortMs: waitMs,
            waitLongMs: waitMs,
            healthScore: 0,
            leaving: false,
            faultProbability: 0,
        },
    };
}

test("a service is saturated only while all live upstreams are, so that free capacity is used", () => {
    const time = new VirtualTime();
    const list = () => ["u1", "u2"].map(id => ({ id }) as Upstream);
    const table = new SaturationTable(time, { list, getFirstSeenMs: () => 0, getVersion: () => 1 });
    const service = buildService({ limits: { targetWaitMs: 100 } });
    table.record(service, buildReply("u1", Code.QueueFull, 0));
    assert.equal(table.isSaturated("payments"), false);
    table.record(service, buildReply("u2", Code.Ok, 101));
    assert.equal(table.isSaturated("payments"), true);
    table.record(service, buildReply("u1", Code.Ok, 10));
    assert.equal(table.isSaturated("payments"), false);
    table.record(service, buildReply("u1", Code.OwnerOverloaded, 0));
    time.addPause(1_001);
    assert.equal(table.isSaturated("payments"), false);
});
