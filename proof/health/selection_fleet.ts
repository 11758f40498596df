/**
 * Entry daemons and owners of one service in virtual time. Selection, attempts, retry budget and owners are
 * real; network and beacons between daemons and the upstreams are fakes.
 *
 * @module
 */
import type { RouteConfig } from "../../src/config/route_config.ts";
import { Code } from "../../src/core/code.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import { AttemptExchanger } from "../../src/forward/attempt_exchanger.ts";
import { AttemptSequence } from "../../src/forward/attempt_sequence.ts";
import { FleetRetryBudget } from "../../src/forward/fleet_retry_budget.ts";
import type { Forwarder } from "../../src/forward/forwarder.ts";
import type { HedgingPolicy } from "../../src/forward/hedging_policy.ts";
import { QuantileHedgingPolicy } from "../../src/forward/quantile_hedging_policy.ts";
import type { RetryBudget } from "../../src/forward/retry_budget.ts";
import { suspicionLimits } from "../../src/health/suspicion_limits.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import { ExpectedLossSelector } from "../../src/select/expected_loss_selector.ts";
import { ServiceLoadMeter } from "../../src/select/service_load_meter.ts";
import { buildService } from "../fakes/build_service.ts";
import { SeededRandom } from "../fakes/seeded_random.ts";
import { VirtualTime } from "../fakes/virtual_time.ts";
import { buildTestMembers } from "./build_test_members.ts";
import { SelectionOwner } from "./selection_owner.ts";

const allDomains = ["domain 0", "domain 1", "domain 2"];
/** All entry daemons of a failure domain share one budget. */
const noPeerIds: ReadonlySet<string> = new Set();
const entryDaemonsPerDomain = 10;
/** One-way network delay between two daemons in milliseconds. */
const networkDelayMs = 1;
/** Percent of the requests that may be hedged, as on the users' platform. */
const hedgePercent = 20;
/** Milliseconds between two checks of an owner for a state to report. */
const announceIntervalMs = 40;
/** Period in milliseconds and relative amplitude of the sinusoidal demand. */
const demandPeriodMs = 13_000;
const demandAmplitude = 0.55;

/** Mean request rate of one route. */
interface RouteDemand {
    readonly route: Partial<RouteConfig>;
    readonly requestsPerSecond: number;
}

interface Options {
    readonly seed: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly demands: readonly RouteDemand[];
    readonly durationMs: number;
    readonly lateFailureShare: number;
    /** Milliseconds between two reports of an owner whose upstream has not changed its condition. */
    readonly reportIntervalMs: number;
    /** Failure domains with callers; all of them by default. */
    readonly callerDomains?: readonly string[];
}

interface CompletedRequest {
    readonly startedAtMs: number;
    readonly served: boolean;
    /** Served within the target of the route. */
    readonly inTarget: boolean;
    readonly idempotent: boolean;
}

/** Generates the demand and records the requests of each upstream and caller. */
export class SelectionFleet {
    readonly owners = new Map<string, SelectionOwner>();
    readonly completedRequests: CompletedRequest[] = [];
    /** Number of attempts by the code of the reply. */
    readonly attemptsByCode = new Map<Code, number>();
    private readonly time = new VirtualTime();
    private readonly random: RandomSource;
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly selectors = new Map<string, ExpectedLossSelector[]>();
    private readonly hedging = new Map<ExpectedLossSelector, HedgingPolicy>();
    private readonly exchanger: AttemptExchanger;
    private readonly service;
    private readonly members;
    private nextId = 0;

    constructor(private readonly options: Options) {
        const { durationMs, lateFailureShare, seed, slots, demands, upstreams } = options;
        const { time } = this;
        this.random = new SeededRandom(seed);
        this.service = buildService({ routes: demands.map(({ route }) => ({ shedStatuses: [], ...route })) });
        this.members = buildTestMembers(upstreams);
        for (const { id } of this.members) {
            this.owners.set(
                id,
                new SelectionOwner({ id, time, random: this.random, slots, durationMs, lateFailureShare }),
            );
        }
        for (const domain of allDomains) {
            this.addDomain(domain);
        }
        const metrics = { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined };
        this.exchanger = new AttemptExchanger({
            clock: time,
            timers: time,
            metrics,
            forwarder: this.buildForwarder(),
        });
    }

    async run(): Promise<void> {
        for (const member of this.members) {
            this.startReports(member.id, member.failureDomain);
        }
        for (const [index, { requestsPerSecond }] of this.options.demands.entries()) {
            this.startDemand(index, requestsPerSecond);
        }
        await this.time.run(this.options.durationMs);
    }

    private addDomain(failureDomain: string): void {
        const { members, random, time } = this;
        const budget = new FleetRetryBudget({
            clock: time,
            getBounds: () => ({ percent: 10, slack: 192, windowMs: 10_000 }),
            getGroupShare: () => 1 / allDomains.length,
            getGroupPeerIds: () => noPeerIds,
            isListed: () => true,
        });
        this.budgets.set(failureDomain, budget);
        const membership = { list: () => members, getFirstSeenMs: () => 0, getVersion: () => 1 };
        const buildSelector = () => {
            const selector = new ExpectedLossSelector({
                clock: time,
                random,
                membership,
                leaving: { setLeaving: () => undefined },
                budget,
                peerStatus: { isUnresponsive: () => false },
                failureDomain,
                region: "region",
            });
            const loads = new ServiceLoadMeter({ membership, findLoad: id => selector.findLoad(id) });
            this.hedging.set(selector, new QuantileHedgingPolicy({ percent: hedgePercent, budget, loads }));
            return selector;
        };
        this.selectors.set(failureDomain, Array.from({ length: entryDaemonsPerDomain }, buildSelector));
    }

    private buildForwarder(): Forwarder {
        const wait = () => new Promise<void>(resolve => this.time.start(networkDelayMs, resolve));
        return {
            forward: async (request, signal) => {
                await wait();
                const reply = await this.owners.get(request.upstream.id)!.forwarder.forward(request, signal);
                await wait();
                if (request.remote !== true) {
                    return reply;
                }
                // As NeighbourFilter does. Here all daemons of a failure domain receive the same reports.
                const { failureDomain, id } = request.upstream;
                const [localSelector] = this.selectors.get(failureDomain)!;
                return { ...reply, neighbours: localSelector!.listNeighbours(request.service.name, id) };
            },
            revoke: request => this.owners.get(request.upstream.id)!.forwarder.revoke(request),
        };
    }

    /**
     * Reports to the local failure domain, and to the remote ones when the upstream becomes suspected or
     * trusted.
     */
    private startReports(id: string, failureDomain: string): void {
        const { reportIntervalMs } = this.options;
        let isSuspected: boolean | undefined;
        let lastReportAtMs = -reportIntervalMs * this.random.getFloat();
        const report = () => {
            const nowMs = this.time.getMonotonicMs();
            const state = this.owners.get(id)!.buildState();
            const wasSuspected = isSuspected;
            isSuspected = state.faultProbability > suspicionLimits.nonIdempotentLimit;
            this.owners.get(id)!.suspicionSamples.push({ atMs: nowMs, suspected: isSuspected });
            const hasChanged = isSuspected !== wasSuspected;
            if (hasChanged || nowMs - lastReportAtMs >= reportIntervalMs) {
                lastReportAtMs = nowMs;
                for (const [domain, selectors] of this.selectors) {
                    if (hasChanged || domain === failureDomain) {
                        selectors.forEach(selector => selector.recordState(state, nowMs));
                    }
                }
            }
            this.time.start(announceIntervalMs, report);
        };
        this.time.start(announceIntervalMs * this.random.getFloat(), report);
    }

    private startDemand(index: number, requestsPerSecond: number): void {
        const nowMs = this.time.getMonotonicMs();
        const demandFactor = 1 + demandAmplitude * Math.sin(2 * Math.PI * nowMs / demandPeriodMs);
        const gapMs = -Math.log(1 - this.random.getFloat()) * 1_000 / (requestsPerSecond * demandFactor);
        this.time.start(gapMs, () => {
            void this.runRequest(this.service.routes[index]!);
            this.startDemand(index, requestsPerSecond);
        });
    }

    private async runRequest(route: RouteConfig): Promise<void> {
        const { exchanger, random, time } = this;
        const domains = this.options.callerDomains ?? allDomains;
        const domain = domains[Math.floor(random.getFloat() * domains.length)]!;
        const selector = this.selectors.get(domain)![Math.floor(random.getFloat() * entryDaemonsPerDomain)]!;
        const budget = this.budgets.get(domain)!;
        const startedAtMs = time.getMonotonicMs();
        const request: RoutedRequest = {
            requestId: `${this.nextId++}`,
            method: route.method,
            host: "",
            path: route.path,
            target: route.path,
            headers: [],
            body: new Uint8Array(),
            organisation: "",
            idempotencyKey: undefined,
            budgetMs: undefined,
            receivedAtMs: startedAtMs,
            signal: new AbortController().signal,
            service: this.service,
            route,
            deadlineMs: startedAtMs + route.deadlineMs,
            configVersion: 1,
        };
        budget.add(this.service.name, 0);
        const hedging = this.hedging.get(selector)!;
        hedging.add(request, startedAtMs);
        const result = await new AttemptSequence(request, {
            selector,
            budget,
            hedging,
            owners: { getIncarnation: () => "1", list: () => [] },
            clock: time,
            timers: time,
            forward: async (selected, handleUnconfirmed) => {
                const startMs = time.getMonotonicMs();
                selector.recordStart(selected);
                const reply = await exchanger.forward(selected, handleUnconfirmed);
                selector.recordReply(selected, reply);
                this.attemptsByCode.set(reply.code, (this.attemptsByCode.get(reply.code) ?? 0) + 1);
                const endMs = time.getMonotonicMs();
                if (route.idempotent && reply.code === Code.Ok) {
                    hedging.recordAnswer(request, selected.upstream.id, endMs - startMs, endMs);
                }
                return reply;
            },
            revokeAfterHopFailure: (_, reply) => Promise.resolve(reply),
        }).run();
        const served = result.isOk() && result.value.code === Code.Ok;
        const inTarget = served && time.getMonotonicMs() - startedAtMs <= route.targetMs;
        this.completedRequests.push({ startedAtMs, served, inTarget, idempotent: route.idempotent });
    }
}
