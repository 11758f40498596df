import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";

const percent = 20;
const slack = 60;
const windowMs = 10_000;

function createBudget(time: VirtualTime, domains = 3, peerIds: readonly string[] = []): FleetRetryBudget {
    const groupPeerIds = new Set(peerIds);
    return new FleetRetryBudget({
        clock: time,
        getBounds: () => ({ percent, slack, windowMs }),
        getGroupShare: () => 1 / domains,
        getGroupPeerIds: () => groupPeerIds,
        isListed: () => true,
    });
}

function takeAll(budget: FleetRetryBudget): number {
    let taken = 0;
    while (budget.take("payments")) {
        taken += 1;
    }
    return taken;
}

test("the daemons of a group together stay within their share, however requests are distributed", () => {
    const time = new VirtualTime();
    const budgets = [createBudget(time, 3, ["d1"]), createBudget(time, 3, ["d0"])];
    for (let request = 0; request < 100; request += 1) {
        budgets[0]!.add("payments");
    }
    let taken = 0;
    for (let round = 0; round < 50; round += 1) {
        for (const [index, budget] of budgets.entries()) {
            const other = budgets[1 - index]!;
            budget.recordPeerCounts(`d${1 - index}`, "i", other.listCounts(6));
            taken += budget.take("payments") ? 1 : 0;
        }
    }
    const allowed = 100 * percent / 100 + slack / 3;
    assert.ok(taken <= allowed && taken > allowed / 2, `${taken} of ${allowed}`);
});

test("retries are allowed again after the window has passed", async () => {
    const time = new VirtualTime();
    const budget = createBudget(time, 1);
    const first = takeAll(budget);
    assert.ok(first > 0 && first <= slack);
    await time.run(windowMs / 2);
    assert.equal(takeAll(budget), 0);
    await time.run(windowMs);
    assert.equal(takeAll(budget), first);
});

test("a daemon that restarts counts from 0, and its earlier counts stay in the window", () => {
    const time = new VirtualTime();
    const budget = createBudget(time, 1, ["d2"]);
    budget.recordPeerCounts("d2", "first", [{ service: "payments", requests: 0, repeats: 40 }]);
    budget.recordPeerCounts("d2", "second", [{ service: "payments", requests: 0, repeats: 5 }]);
    budget.recordPeerCounts("d2", "second", [{ service: "payments", requests: 0, repeats: 5 }]);
    assert.equal(takeAll(budget), Math.floor(slack * 0.9) - 45);
});

test("calls of requests that run again leave less for retries, so that both together stay within the share", () => {
    const budget = createBudget(new VirtualTime(), 1);
    for (let call = 0; call < 20; call += 1) {
        budget.addRepeat("payments");
    }
    assert.equal(takeAll(budget), Math.floor(slack * 0.9) - 20);
});

test("part of the budget is left for requests that fail unexpectedly", () => {
    const budget = createBudget(new VirtualTime(), 1);
    while (budget.has("payments", 0.5)) {
        budget.take("payments");
    }
    assert.ok(takeAll(budget) > 0);
});

test("a group whose requests all begin to fail stays within its share despite late reports", async () => {
    const size = 8;
    const periodMs = 300;
    for (const requestsPerSecond of [0.5, 3, 20]) {
        const gapMs = 1_000 / requestsPerSecond;
        const time = new VirtualTime();
        const budgets = Array.from({ length: size }, (_, index) => {
            const peers = Array.from({ length: size }, (__, peer) => `d${peer}`);
            return createBudget(time, 10, peers.filter(id => id !== `d${index}`));
        });
        const sent: { readonly atMs: number; readonly isRepeat: boolean; }[] = [];
        const startRequest = (budget: FleetRetryBudget): void => {
            const atMs = time.getMonotonicMs();
            budget.add("payments");
            sent.push({ atMs, isRepeat: false });
            for (let repeat = 0; atMs > 15_000 && repeat < 2 && budget.take("payments"); repeat += 1) {
                sent.push({ atMs, isRepeat: true });
            }
            time.start(gapMs, () => startRequest(budget));
        };
        // Each daemon exchanges counts with one other of the group in each period.
        const runRound = (round: number): void => {
            for (const [index, budget] of budgets.entries()) {
                const peer = (index + 1 + round % (size - 1)) % size;
                budgets[peer]!.recordPeerCounts(`d${index}`, "i", budget.listCounts(6));
                budget.recordPeerCounts(`d${peer}`, "i", budgets[peer]!.listCounts(6));
            }
            time.start(periodMs, () => runRound(round + 1));
        };
        budgets.forEach((budget, index) => time.start(index * gapMs / size, () => startRequest(budget)));
        runRound(0);
        await time.run(45_000);
        for (let endMs = windowMs; endMs <= 45_000; endMs += 100) {
            const inWindow = sent.filter(({ atMs }) => atMs > endMs - windowMs && atMs <= endMs);
            const repeats = inWindow.filter(({ isRepeat }) => isRepeat).length;
            const allowed = (inWindow.length - repeats) * percent / 100 + slack / 10;
            assert.ok(
                repeats <= allowed,
                `${repeats} of ${allowed} at ${endMs} ms, ${requestsPerSecond} a second`,
            );
        }
    }
});
