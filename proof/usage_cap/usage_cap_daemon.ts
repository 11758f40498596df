import type { NullSinks } from "../../measure/capacity/null_sinks.ts";
import type { Organisation } from "../../src/config/organisation.ts";
import type { Timers } from "../../src/core/timers.ts";
import type { DaemonInfo } from "../../src/membership/daemon_info.ts";
import { AllowanceExchange } from "../../src/usage_cap/allowance_exchange.ts";
import { AllowanceLender } from "../../src/usage_cap/allowance_lender.ts";
import { FleetUsageCap } from "../../src/usage_cap/fleet_usage_cap.ts";
import { LenderDirectory } from "../../src/usage_cap/lender_directory.ts";
import { lenderTiming } from "../../src/usage_cap/lender_timing.ts";
import { UsageCapFilter } from "../../src/usage_cap/usage_cap_filter.ts";
import type { SeededRandom } from "../fakes/seeded_random.ts";
import type { UsageCapFleet } from "./usage_cap_fleet.ts";

interface Options {
    readonly fleet: UsageCapFleet;
    readonly info: DaemonInfo;
    readonly random: SeededRandom;
    readonly sinks: NullSinks;
    /** True when a new process assumes that it has run for ever. */
    readonly forgetsStart: boolean;
}

/** Longest wait of a request for an allowance in milliseconds. */
const maxWaitMs = 200;

/** One daemon with its callers; it can restart, freeze and keep an old list. */
export class UsageCapDaemon {
    incarnation = 0;
    /** The list that this daemon knows; that of the fleet when undefined. */
    staleList: ReadonlyMap<string, DaemonInfo> | undefined;
    /** Milliseconds at which the daemon lost the store; undefined while it reaches it. */
    storeLostAtMs: number | undefined;
    filter!: UsageCapFilter;
    private exchange!: AllowanceExchange;
    private cap!: FleetUsageCap;
    private frozen = false;
    /** Timers and messages that came while the process was frozen. */
    private readonly pending: (() => void)[] = [];

    constructor(private readonly options: Options) {
        this.build();
    }

    get id(): string {
        return this.options.info.id;
    }

    start(): void {
        this.exchange.start();
    }

    close(): void {
        this.exchange.close();
    }

    /** Ends the process and starts a new one, which knows nothing of the former. */
    startNewProcess(): void {
        this.exchange.close();
        this.pending.length = 0;
        this.frozen = false;
        this.incarnation += 1;
        this.build();
        this.start();
    }

    /** Freezes the process; after that it handles at once what came in the meantime. */
    setFrozen(frozen: boolean): void {
        this.frozen = frozen;
        if (!frozen) {
            this.pending.splice(0).forEach(action => action());
        }
    }

    /** Runs the action now, or when the process wakes. */
    runAwake(action: () => void): void {
        if (this.frozen) {
            this.pending.push(action);
        }
        else {
            action();
        }
    }

    /** Counts a request of the organisation, or refuses it. */
    async handleRequest(): Promise<void> {
        const { fleet } = this.options;
        if (this.frozen) {
            return;
        }
        const { organisation } = fleet;
        const nowMs = fleet.time.getMonotonicMs();
        const isAllowed = this.cap.take(organisation, nowMs).isAllowed
            || (await this.exchange.take(organisation, { maxWaitMs }))?.isAllowed === true;
        if (isAllowed) {
            fleet.takenAtMs.push(fleet.time.getMonotonicMs());
        }
        else {
            fleet.refused += 1;
            this.cap.recordRefusal(organisation, fleet.time.getMonotonicMs());
        }
    }

    private build(): void {
        const { fleet, info, random, sinks } = this.options;
        const { bounds, time } = fleet;
        const { incarnation } = this;
        const startedAtMs = this.options.forgetsStart ? -1e9 : time.getMonotonicMs();
        const getBounds = () => bounds;
        const getDaemons = () => this.staleList ?? fleet.list;
        const getListAgeMs = () =>
            this.storeLostAtMs === undefined ? 0 : time.getMonotonicMs() - this.storeLostAtMs;
        const timers: Timers = {
            start: (delayMs, action) =>
                time.start(delayMs, () => {
                    if (this.incarnation === incarnation) {
                        this.runAwake(action);
                    }
                }),
        };
        const common = {
            daemonId: info.id,
            ...info,
            startedAtMs,
            getDaemons,
            getBounds,
            getListAgeMs,
            random,
            ...lenderTiming,
        };
        const directory = new LenderDirectory(common);
        const lender = new AllowanceLender({ ...common, directory });
        this.cap = new FleetUsageCap({ ...common, directory });
        this.exchange = new AllowanceExchange({
            ...common,
            clock: time,
            timers,
            cap: this.cap,
            lender,
            directory,
            metrics: sinks,
            findOrganisation: (): Organisation => fleet.organisation,
            findDaemon: id => getDaemons().get(id),
            transport: {
                sendAsk: ({ id }, ask) =>
                    fleet.forward(info.id, id, receiver => receiver.exchange.handleAsk(info.id, ask)),
                sendGrant: ({ id }, grant) =>
                    fleet.forward(info.id, id, receiver => receiver.exchange.handleGrant(info.id, grant)),
            },
        });
        this.filter = new UsageCapFilter({
            clock: time,
            cap: this.cap,
            allowances: this.exchange,
            logger: sinks,
            metrics: sinks,
        });
    }
}
