import { ok } from "neverthrow";
import { AdmitFilter } from "../../src/admit/admit_filter.ts";
import { TokenRetryBudget } from "../../src/forward/token_retry_budget.ts";
import { DaemonState } from "../../src/lifecycle/daemon_state.ts";
import { ConfiguredUpstreams } from "../../src/queue/configured_upstreams.ts";
import { QueueFilter } from "../../src/queue/queue_filter.ts";
import type { QueueFilterOptions } from "../../src/queue/queue_filter_options.ts";
import { ServiceTimes } from "../../src/queue/service_times.ts";
import { ControlledDelayShedPolicy } from "./controlled_delay_shed_policy.ts";
import { FifoQueueFilter } from "./fifo_queue_filter.ts";
import { FixedSlotLimit } from "./fixed_slot_limit.ts";
import type { LoadSystem } from "./load_system.ts";
import { NoShedPolicy } from "./no_shed_policy.ts";
import { UnlimitedRetryBudget } from "./unlimited_retry_budget.ts";

function buildBaseline(name: string, dropsExpired: boolean): LoadSystem {
    return {
        name,
        cancels: dropsExpired,
        redirects: false,
        createQueue: (time, upstream) => new FifoQueueFilter(time, upstream, dropsExpired),
        createBudget: () => new UnlimitedRetryBudget(),
        createAdmit: () => ({ apply: request => ok(request) }),
    };
}

function buildSystem(
    name: string,
    redirects = true,
    policies: Pick<QueueFilterOptions, "createShedPolicy" | "createSlotLimit"> = {},
): LoadSystem {
    return {
        name,
        cancels: true,
        redirects,
        createQueue: (time, upstream) =>
            new QueueFilter({
                clock: time,
                timers: time,
                upstreams: new ConfiguredUpstreams([upstream]),
                daemonState: { getState: () => DaemonState.Serving },
                ...policies,
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

const system = buildSystem("zinniaglade");

/** The system under measurement, variants of it with other policies, and the baselines. */
export function buildSystems() {
    return {
        shedVariants: [
            system,
            buildSystem("zinniaglade, controlled delay", true, {
                createShedPolicy: () => new ControlledDelayShedPolicy(),
            }),
            buildSystem("zinniaglade, no shedding", true, { createShedPolicy: () => new NoShedPolicy() }),
        ],
        slotVariants: [
            system,
            buildSystem("zinniaglade, fixed slots", true, {
                createSlotLimit: nominal => new FixedSlotLimit(nominal),
            }),
        ],
        redirectVariants: [system, buildSystem("zinniaglade, no redirects", false)],
        baselines: [buildBaseline("FIFO", false), buildBaseline("FIFO, drops expired", true)],
    };
}
