import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { buildService } from "../../proof/fakes/build_service.ts";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "./configured_upstreams.ts";
import { FixedSlotLimit } from "./fixed_slot_limit.ts";
import { NoShedPolicy } from "./no_shed_policy.ts";
import { QueueFilter } from "./queue_filter.ts";

interface Demand {
    readonly priority: number;
    readonly targetMs: number;
    readonly serviceMs: number;
    readonly intervalMs: number;
}

/** Replays Poisson arrivals of two routes at one upstream; returns the share of each in its target. */
async function runReplay(demands: readonly Demand[], slots: number): Promise<readonly number[]> {
    const time = new VirtualTime();
    const random = new SeededRandom(1);
    const queue = new QueueFilter({
        clock: time,
        timers: time,
        upstreams: new ConfiguredUpstreams([{ id: "u1", service: "payments", address: "", slots }]),
        daemonState: { getState: () => DaemonState.Serving },
        createShedPolicy: () => new NoShedPolicy(),
        createSlotLimit: nominal => new FixedSlotLimit(nominal),
    });
    const routes = demands.map(demand => ({ ...demand, deadlineMs: 2 * demand.targetMs, idempotent: false }));
    const service = buildService({ routes, limits: { organisationPercent: 100 } });
    const totals = demands.map(() => ({ sent: 0, inTarget: 0 }));
    const takeInterval = (meanMs: number) => -Math.log(1 - random.getFloat()) * meanMs;
    const send = async (index: number) => {
        const { serviceMs, targetMs } = demands[index]!;
        const receivedAtMs = time.getMonotonicMs();
        totals[index]!.sent += 1;
        const scheduled = await queue.apply(
            buildOwnerRequest({ service, route: service.routes[index]!, receivedAtMs }),
        );
        if (scheduled.isErr()) {
            return;
        }
        const durationMs = serviceMs * (0.5 + random.getFloat());
        time.start(durationMs, () => {
            totals[index]!.inTarget += time.getMonotonicMs() - receivedAtMs <= targetMs ? 1 : 0;
            scheduled.value.permit.close(durationMs);
        });
    };
    const startArrivals = (index: number): void => {
        time.start(takeInterval(demands[index]!.intervalMs), () => {
            void send(index);
            startArrivals(index);
        });
    };
    demands.forEach((_, index) => startArrivals(index));
    await time.run(60_000);
    return totals.map(({ inTarget, sent }) => inTarget / sent);
}

// Guards against a slot left unused for urgent requests that can wait for the next one: of two slots it is
// half of the room for uploads.
test("uploads use both slots of an upstream beside listings that can wait, and both meet their targets", async () => {
    const listings = { priority: 1, targetMs: 1_000, serviceMs: 210, intervalMs: 1_000 };
    const uploads = { priority: 2, targetMs: 2_000, serviceMs: 280, intervalMs: 240 };
    const [listingShare = 0, uploadShare = 0] = await runReplay([listings, uploads], 2);
    assert.ok(listingShare >= 0.95 && uploadShare >= 0.95, `${listingShare} ${uploadShare}`);
});

// Guards against large requests in all slots while small ones with a tight target arrive.
test("the last slot is kept for requests that would miss their target behind large ones", async () => {
    const balances = { priority: 0, targetMs: 150, serviceMs: 50, intervalMs: 150 };
    const reports = { priority: 1, targetMs: 20_000, serviceMs: 1_000, intervalMs: 1_000 };
    const [balanceShare = 0] = await runReplay([balances, reports], 3);
    assert.ok(balanceShare >= 0.95, `${balanceShare}`);
});
