import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";

const percent = 20;
const slack = 64;
const windowMs = 10_000;
const daemons = 88;
const groupSize = 8;
/** Period in which each daemon exchanges its counts with one other of its group. */
const periodMs = 300;
const endMs = 40_000;

interface Scenario {
    readonly requestsPerSecond: number;
    /** All attempts of a request that arrives later fail. */
    readonly failFromMs: number;
    /** Share of the later requests that fail. */
    readonly failShare?: number;
    /** Daemons that stop at `endAtMs` and stay listed. */
    readonly ended?: ReadonlySet<number>;
    readonly endAtMs?: number;
    /** Number of daemons by which the group boundaries move at each of these times. */
    readonly step?: number;
    readonly shiftAtMs?: readonly number[];
}

/** Fixed pseudo-random sequence, so that a failure can be reproduced. */
function createRandom(): () => number {
    let seed = 7;
    return () => {
        seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
        return seed / 2_147_483_648;
    };
}

/** Number of ascending times that are later than `sinceMs`. */
function countSince(times: readonly number[], sinceMs: number): number {
    return times.length - 1 - times.findLastIndex(atMs => atMs <= sinceMs);
}

/** Largest ratio, over all windows, of the repeats of the fleet to the allowed ones. */
async function measureMaxRatio(scenario: Scenario): Promise<number> {
    const { ended = new Set(), endAtMs = 0, failFromMs, failShare = 1, requestsPerSecond } = scenario;
    const { shiftAtMs = [], step = 0 } = scenario;
    const time = new VirtualTime();
    const random = createRandom();
    const isEnded = (index: number): boolean => ended.has(index) && time.getMonotonicMs() >= endAtMs;
    let shift = 0;
    const listGroup = (index: number): readonly number[] => {
        const first = Math.floor((index + shift) % daemons / groupSize) * groupSize;
        return Array.from({ length: groupSize }, (_, place) => (first + place - shift + daemons) % daemons);
    };
    const listPeerIds = (index: number): ReadonlySet<string> =>
        new Set(listGroup(index).filter(peer => peer !== index).map(peer => `d${peer}`));
    let peerIds = Array.from({ length: daemons }, (_, index) => listPeerIds(index));
    const startShift = (atMs: number): void => {
        time.start(atMs, () => {
            shift = (shift + step) % daemons;
            peerIds = peerIds.map((_, index) => listPeerIds(index));
        });
    };
    shiftAtMs.forEach(startShift);
    const budgets = Array.from({ length: daemons }, (_, index) => {
        return new FleetRetryBudget({
            clock: time,
            getBounds: () => ({ percent, slack, windowMs }),
            getGroupShare: () => groupSize / daemons,
            getGroupPeerIds: () => peerIds[index]!,
            isListed: () => true,
        });
    });
    const requests: number[] = [];
    const repeats: number[] = [];
    const startRequest = (index: number): void => {
        time.start(-Math.log(1 - random()) * 1_000 / requestsPerSecond, () => startRequest(index));
        const nowMs = time.getMonotonicMs();
        if (isEnded(index)) {
            return;
        }
        budgets[index]!.add("payments");
        requests.push(nowMs);
        const hasFailed = random() < failShare && nowMs >= failFromMs;
        for (let repeat = 0; hasFailed && repeat < 2 && budgets[index]!.take("payments"); repeat += 1) {
            repeats.push(nowMs);
        }
    };
    const runRound = (round: number): void => {
        for (const index of budgets.keys()) {
            const group = listGroup(index);
            const peer = group[(group.indexOf(index) + 1 + round % (groupSize - 1)) % groupSize]!;
            if (!isEnded(index) && !isEnded(peer)) {
                budgets[peer]!.recordPeerCounts(`d${index}`, "i", budgets[index]!.listCounts(6));
                budgets[index]!.recordPeerCounts(`d${peer}`, "i", budgets[peer]!.listCounts(6));
            }
        }
        time.start(periodMs, () => runRound(round + 1));
    };
    for (const index of budgets.keys()) {
        time.start(random() * 1_000 / requestsPerSecond, () => startRequest(index));
    }
    time.start(periodMs, () => runRound(0));
    let maxRatio = 0;
    for (let nowMs = 0; nowMs < endMs; nowMs += 100) {
        await time.run(100);
        const sinceMs = time.getMonotonicMs() - windowMs;
        const allowed = countSince(requests, sinceMs) * percent / 100 + slack;
        maxRatio = Math.max(maxRatio, countSince(repeats, sinceMs) / allowed);
    }
    return maxRatio;
}

for (const requestsPerSecond of [1, 3, 8]) {
    test(`daemons without reports do not each use all retries, ${requestsPerSecond} a second`, async t => {
        const worst = await measureMaxRatio({ requestsPerSecond, failFromMs: 0 });
        t.diagnostic(`worst ratio ${worst.toFixed(2)}`);
        assert.ok(worst <= 1, `${worst} of the allowed repeats`);
        assert.ok(worst > 0.4, `only ${worst} of the allowed repeats`);
    });

    test(`a group with reports stays within its share, ${requestsPerSecond} a second`, async t => {
        const worst = await measureMaxRatio({ requestsPerSecond, failFromMs: 15_000 });
        t.diagnostic(`worst ratio ${worst.toFixed(2)}`);
        assert.ok(worst <= 1, `${worst} of the allowed repeats`);
        assert.ok(worst > 0.4, `only ${worst} of the allowed repeats`);
    });
}

for (const failShare of [0.3, 1]) {
    for (const { shifts, step } of [{ shifts: 1, step: 4 }, { shifts: 6, step: 1 }, { shifts: 6, step: 4 }]) {
        const label = `${shifts} shifts by ${step}, ${failShare} of the requests fail`;
        test(`requests of a daemon raise the allowance of one group at a time: ${label}`, async t => {
            const shiftAtMs = Array.from({ length: shifts }, (_, index) => 12_000 + 1_000 * index);
            const before = await measureMaxRatio({
                requestsPerSecond: 3,
                failFromMs: 15_500,
                failShare,
                shiftAtMs,
                step,
            });
            const laterAtMs = shiftAtMs.map(atMs => atMs + 8_000);
            const during = await measureMaxRatio({
                requestsPerSecond: 3,
                failFromMs: 9_000,
                failShare,
                shiftAtMs: laterAtMs,
                step,
            });
            t.diagnostic(`worst ratio ${before.toFixed(2)}, shifts during the fault ${during.toFixed(2)}`);
            assert.ok(before <= 1 && during <= 1, `${before} and ${during} of the allowed repeats`);
            assert.ok(before > 0.4 && during > 0.4, `only ${before} and ${during} of the allowed repeats`);
        });
    }
}

for (const isListed of [true, false]) {
    test(`counts of a daemon that ${isListed ? "changed groups: repeats" : "left the fleet: all"}`, () => {
        let peerIds = new Set(["d1", "d2"]);
        const budget = new FleetRetryBudget({
            clock: new VirtualTime(),
            getBounds: () => ({ percent, slack, windowMs }),
            getGroupShare: () => 1,
            getGroupPeerIds: () => peerIds,
            isListed: () => isListed,
        });
        budget.recordPeerCounts("d1", "i", [{ service: "payments", requests: 200, repeats: 30 }]);
        budget.recordPeerCounts("d2", "i", [{ service: "payments", requests: 100, repeats: 0 }]);
        peerIds = new Set(["d2"]);
        let taken = 0;
        while (budget.take("payments")) {
            taken += 1;
        }
        const requests = isListed ? 100 : 300;
        assert.equal(taken, Math.floor(0.9 * (requests * percent / 100 + slack)) - 30);
    });
}

test("daemons that stop and stay listed reserve only their own share of the group", async t => {
    const ended = new Set(Array.from({ length: daemons / groupSize }, (_, group) => group * groupSize));
    const worst = await measureMaxRatio({ requestsPerSecond: 3, failFromMs: 25_000, ended, endAtMs: 8_000 });
    t.diagnostic(`worst ratio ${worst.toFixed(2)}`);
    assert.ok(worst <= 1, `${worst} of the allowed repeats`);
    assert.ok(worst > 0.6, `only ${worst} of the allowed repeats`);
});

test("requests that fail from the start do not exceed the allowed repeats", async t => {
    const worst = await measureMaxRatio({ requestsPerSecond: 3, failFromMs: 0, failShare: 0.3 });
    t.diagnostic(`worst ratio ${worst.toFixed(2)}`);
    assert.ok(worst <= 1, `${worst} of the allowed repeats`);
    assert.ok(worst > 0.4, `only ${worst} of the allowed repeats`);
});

test("daemons that are partitioned for longer than the window use one share each", async t => {
    const time = new VirtualTime();
    const peerIds = ["d0", "d1", "d2", "d3"];
    const budgets = peerIds.map(own => {
        const others = new Set(peerIds.filter(id => id !== own));
        return new FleetRetryBudget({
            clock: time,
            getBounds: () => ({ percent, slack, windowMs }),
            getGroupShare: () => 1,
            getGroupPeerIds: () => others,
            isListed: () => true,
        });
    });
    for (const [index, budget] of budgets.entries()) {
        for (const id of peerIds.filter(other => other !== peerIds[index])) {
            budget.recordPeerCounts(id, "i", []);
        }
    }
    await time.run(2 * windowMs);
    let taken = 0;
    for (const budget of budgets) {
        while (budget.take("payments")) {
            taken += 1;
        }
    }
    t.diagnostic(`${taken} of ${slack}`);
    assert.ok(taken <= slack && taken > slack / 2, `${taken} of ${slack}`);
});
