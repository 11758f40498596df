/**
 * Measures which share of its limit an organisation can use when its callers sit on some or all daemons, the
 * messages that this takes, and the messages of an organisation that sends nothing. Clocks, timers and the network
 * are virtual; messages take 0.3 to 1.8 ms.
 *
 * @example
 * ```sh
 * node --import tsx measure/usage_cap.ts 3
 * ```
 *
 * @module
 */
import { SeededRandom } from "../proof/fakes/seeded_random.ts";
import { UsageCapFleet } from "../proof/usage_cap/usage_cap_fleet.ts";

interface Load {
    readonly seed: number;
    readonly daemons: number;
    /** Daemons that have callers. */
    readonly used: number;
    readonly perSecond: number;
    /** Requests sent as a share of the limit. */
    readonly share: number;
    /** Daemons without callers that do not answer. */
    readonly stopped?: number;
}

interface Usage {
    readonly sent: number;
    readonly taken: number;
    /** Requests that one token bucket with the rate and burst of the limit would take. */
    readonly owed: number;
    readonly datagrams: number;
    readonly largestExcess: number;
}

const seeds = Array.from({ length: Number(process.argv[2] ?? 3) }, (_, index) => index + 1);
const durationMs = 20_000;

/** Sends requests at random times to random daemons. */
async function measureUsage({ daemons, perSecond, seed, share, stopped = 0, used }: Load): Promise<Usage> {
    const organisation = {
        name: `organisation-${seed}`,
        keys: [],
        requestsPerSecond: perSecond,
        burst: perSecond,
        priority: undefined,
    };
    const fleet = new UsageCapFleet({ daemons, seed, organisation });
    const random = new SeededRandom(seed);
    await fleet.time.run(10_000);
    const idleDatagrams = fleet.datagrams;
    if (idleDatagrams > 0) {
        console.log(`${idleDatagrams} messages without a request`);
    }
    fleet.daemons.slice(daemons - stopped).forEach(daemon => daemon.setFrozen(true));
    let sent = 0;
    let owed = 0;
    let level = perSecond;
    for (let elapsedMs = 0; elapsedMs < durationMs;) {
        const gapMs = -Math.log(1 - random.getFloat()) * 1_000 / (share * perSecond);
        elapsedMs += gapMs;
        await fleet.time.run(gapMs);
        fleet.send(Math.floor(random.getFloat() * used));
        sent += 1;
        level = Math.min(perSecond, level + gapMs * perSecond / 1_000);
        if (level >= 1) {
            level -= 1;
            owed += 1;
        }
    }
    await fleet.time.run(300);
    fleet.close();
    return {
        sent,
        taken: fleet.takenAtMs.length,
        owed,
        datagrams: fleet.datagrams,
        largestExcess: fleet.computeLargestExcess(),
    };
}

async function reportUsage(load: Omit<Load, "seed" | "daemons">): Promise<void> {
    const usages: Usage[] = [];
    for (const seed of seeds) {
        usages.push(await measureUsage({ ...load, daemons: 73, seed }));
    }
    const countAll = (field: keyof Usage): number => usages.reduce((total, usage) => total + usage[field], 0);
    const { perSecond, share, stopped = 0, used } = load;
    console.log(
        `limit ${perSecond}/s, callers on ${used} of 73, ${stopped} stopped, ${share} of the limit sent: `
            + `${(countAll("taken") / countAll("owed")).toFixed(3)} of what the limit allows, `
            + `${(countAll("datagrams") / countAll("sent")).toFixed(2)} messages a request, `
            + `${(countAll("datagrams") * 1_000 / durationMs / seeds.length).toFixed(0)}/s, `
            + `largest sum ${-Math.round(
                Math.max(...usages.map(usage => usage.largestExcess)),
            )} below the bound`,
    );
}

for (const perSecond of [108, 20, 3.2]) {
    for (const used of [1, 10, 73]) {
        for (const share of [0.625, 0.95, 4.7]) {
            await reportUsage({ perSecond, used, share });
        }
    }
    for (const stopped of [12, 40]) {
        await reportUsage({ perSecond, used: 73 - stopped, share: 0.625, stopped });
    }
}
