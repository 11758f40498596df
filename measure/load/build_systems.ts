import { ok } from "neverthrow";
import { AdmitFilter } from "../../src/admit/admit_filter.ts";
import { TokenRetryBudget } from "../../src/forward/token_retry_budget.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import { ServiceTimes } from "../../src/queue/service_times.ts";
import type { ShedPolicy } from "../../src/queue/shed_policy.ts";
import { ControlledDelayShedPolicy } from "./controlled_delay_shed_policy.ts";
import { FifoQueueFilter } from "./fifo_queue_filter.ts";
import type { LoadSystem } from "./load_system.ts";
import { NoShedPolicy } from "./no_shed_policy.ts";
import { UnlimitedRetryBudget } from "./unlimited_retry_budget.ts";

function buildBaseline(name: string, dropsExpired: boolean): LoadSystem {
    return {
        name,
        cancels: dropsExpired,
        createQueue: (time, upstream) => new FifoQueueFilter(time, upstream, dropsExpired),
        createBudget: () => new UnlimitedRetryBudget(),
        createAdmit: () => ({ apply: request => ok(request) }),
    };
}

function buildSystem(name: string, createShedPolicy?: () => ShedPolicy): LoadSystem {
    return {
        name,
        cancels: true,
        createQueue: (time, upstream) =>
            new QueueFilter({
                clock: time,
                timers: time,
                upstreams: [upstream],
                daemonState: { getState: () => DaemonState.Serving },
                ...(createShedPolicy === undefined ? {} : { createShedPolicy }),
            }),
        createBudget: time => new TokenRetryBudget(time),
        createAdmit: (time, config) =>
            new AdmitFilter({
                clock: time,
                config,
                inFlight: { getInFlight: () => 0 },
                saturation: { isSaturated: () => false },
                serviceTimes: new ServiceTimes(),
            }),
    };
}

/** The system under measurement first, then its variants and the baselines. */
export function buildSystems(): readonly LoadSystem[] {
    return [
        buildSystem("zinniaglade"),
        buildSystem("zinniaglade, controlled delay", () => new ControlledDelayShedPolicy()),
        buildSystem("zinniaglade, no shedding", () => new NoShedPolicy()),
        buildBaseline("FIFO", false),
        buildBaseline("FIFO, drops expired", true),
    ];
}
