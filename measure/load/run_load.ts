import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ActiveConfigReader } from "../../src/config/active_config_reader.ts";
import { FakeEntryDaemon } from "./fake_entry_daemon.ts";
import { FakeUpstream } from "./fake_upstream.ts";
import { LoadCallers } from "./load_callers.ts";
import type { LoadResult } from "./load_result.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { LoadSystem } from "./load_system.ts";

/** Time in milliseconds after the last arrival for callers to retry and all requests to end. */
const completionMs = 10_000;

/** Runs one system under one scenario in virtual time. */
export async function runLoad(scenario: LoadScenario, system: LoadSystem, seed: number): Promise<LoadResult> {
    const { service } = scenario;
    const time = new VirtualTime();
    const random = new SeededRandom(seed);
    const configuration = { team: "", services: new Map([[service.name, service]]) };
    const config: ActiveConfigReader = {
        getActive: () => ({ version: 1, digest: "", source: "", configuration }),
    };
    const result: LoadResult = {
        requests: [],
        waitsMs: new Map(),
        slotMs: { useful: 0, expired: 0 },
        attempts: 0,
        maxQueued: 0,
    };
    const started = new Set<string>();
    const owners = new Map(Array.from({ length: scenario.upstreams }, (_, index) => {
        const upstream = { id: `u${index}`, service: service.name, address: "", slots: scenario.slots };
        const queue = system.createQueue(time, upstream);
        return [upstream.id, { queue, upstream: new FakeUpstream(time, scenario.profile) }] as const;
    }));
    const { cancels, redirects } = system;
    const shared = { time, random, scenario, owners, cancels, redirects, result, started };
    const entryDaemons = Array.from({ length: scenario.entryDaemons }, () => {
        const admit = system.createAdmit(time, config);
        return new FakeEntryDaemon({ ...shared, admit, budget: system.createBudget(time) });
    });
    const callers = new LoadCallers({ ...shared, entryDaemons });
    scenario.streams.forEach(stream => callers.start(stream));
    await time.run(scenario.warmUpMs + scenario.measuredMs + scenario.recoveryMs + completionMs);
    return result;
}
