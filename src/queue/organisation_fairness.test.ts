import assert from "node:assert/strict";
import { test } from "node:test";
import { QueueReplay } from "../../proof/queue/queue_replay.ts";

const organisations = 10;
const seeds = [1, 2, 3, 4, 5, 6];
/** Requests per second of an organisation: the ten use 0.75 of the two slots in calm. */
const calmRate = 1;
const [hotStartMs, hotEndMs] = [2_000, 8_500];
const route = { priority: 1, targetMs: 800, serviceMs: 150 };
/** Part of their requests in target that the others may lose by the one that sends too much. */
const maxLoss = 0.05;

/** Share in target of the requests of all organisations but the first, which multiplies its rate. */
async function measureOthers(hotFactor: number, getName: (index: number) => string): Promise<number> {
    let inTarget = 0;
    let sent = 0;
    for (const seed of seeds) {
        const demands = Array.from({ length: organisations }, (_, index) => ({
            organisation: getName(index),
            route,
            getRate: (nowMs: number) =>
                index === 0 && nowMs >= hotStartMs && nowMs < hotEndMs ? hotFactor * calmRate : calmRate,
        }));
        const replay = new QueueReplay({ seed, slots: 2, durationMs: 10_000, demands });
        await replay.run();
        for (const total of replay.totals.slice(1)) {
            inTarget += total.inTarget;
            sent += total.sent;
        }
    }
    return inTarget / sent;
}

// Guards against an organisation that takes the room of the others: it sends 7.5 times its usual for 6.5 s, so
// that the demand is 1.24 of the room, of which the others need 0.68.
test("an organisation that sends many times its usual pays for it, and the others hardly do", async () => {
    const getName = (index: number) => `o${index}`;
    const calmShare = await measureOthers(1, getName);
    const share = await measureOthers(7.5, getName);
    assert.ok(share >= calmShare - maxLoss, `${share} beside the hot organisation, ${calmShare} in calm`);
    // Without the names of organisations the replay shows the fault that the test guards against.
    const unnamedShare = await measureOthers(7.5, () => "");
    assert.ok(unnamedShare < calmShare - maxLoss, `${unnamedShare} without organisations`);
});
