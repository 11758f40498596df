/**
 * Borrows parts of the caps of organisations from other daemons, and lends them.
 *
 * A request for which nothing is at hand waits for one round trip to a lender, and at the longest for a fixed
 * time; requests of the same organisation wait together. An organisation that sends nothing causes no messages.
 *
 * @example
 * ```ts
 * const exchange = new AllowanceExchange(options);
 * exchange.start();
 * const verdict = await exchange.take(organisation, { maxWaitMs: 200, signal });
 * exchange.close();
 * ```
 *
 * @module
 */
import type { Organisation } from "../config/organisation.ts";
import type { Clock } from "../core/clock.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { AllowanceAsk } from "./allowance_ask.ts";
import type { AllowanceGrant } from "./allowance_grant.ts";
import type { AllowanceLender } from "./allowance_lender.ts";
import { allowanceLifeMs } from "./allowance_life_ms.ts";
import type { AllowanceSource } from "./allowance_source.ts";
import type { AllowanceTransport } from "./allowance_transport.ts";
import type { FleetUsageCap } from "./fleet_usage_cap.ts";
import type { LenderDirectory } from "./lender_directory.ts";
import type { UsageVerdict } from "./usage_verdict.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly cap: FleetUsageCap;
    readonly lender: AllowanceLender;
    readonly directory: LenderDirectory;
    readonly transport: AllowanceTransport;
    /** Undefined when the configuration in force has no such organisation. */
    readonly findOrganisation: (name: string) => Organisation | undefined;
    /** Undefined when the list has no such daemon. */
    readonly findDaemon: (id: string) => DaemonInfo | undefined;
    readonly metrics: Metrics;
}

type WaitOptions = Parameters<AllowanceSource["take"]>[1];

/** Milliseconds after which a lender that did not know an organisation is asked again. */
const unknownOrganisationMs = 500;

interface Waiter {
    readonly organisation: Organisation;
    readonly untilMs: number;
    readonly signal: AbortSignal | undefined;
    readonly resolve: (verdict: UsageVerdict | undefined) => void;
}

/** Requests of one organisation that wait together, first in first out. */
interface Round {
    readonly waiters: Waiter[];
    /** Number of the ask for which the round waits. */
    askId: number | undefined;
    timer: Timer | undefined;
}

interface SentAsk {
    readonly organisation: Organisation;
    readonly lenderId: string;
    readonly askedAtMs: number;
}

/**
 * Time after which the next lender is asked. A lender on a busy instance answers within it; the request that
 * waits has a target of some hundred milliseconds.
 */
const answerTimeoutMs = 40;
/** Requests of one organisation that wait together; more are refused at once. */
const maxWaiters = 1_000;
/** Time between two looks at the daemon list, and at state that is no longer needed. */
const periodMs = 500;
const maxFirstId = 2 ** 48;

/** Asks one lender after the other for the requests that wait. */
export class AllowanceExchange implements AllowanceSource {
    private readonly rounds = new Map<string, Round>();
    /** Oldest first. */
    private readonly asks = new Map<number, SentAsk>();
    /** Starts at random, so that answers to a former process of the instance match no ask. */
    private nextId: number;
    private timer: Timer | undefined;

    constructor(private readonly options: Options) {
        this.nextId = Math.floor(options.random.getFloat() * maxFirstId);
    }

    start(): void {
        const { cap, clock, directory, lender, metrics, timers } = this.options;
        const nowMs = clock.getMonotonicMs();
        directory.update(nowMs);
        cap.evict(nowMs);
        lender.evict(nowMs);
        metrics.setGauge("usage_cap.organisations", cap.countOrganisations());
        this.timer = timers.start(periodMs, () => this.start());
    }

    close(): void {
        this.timer?.close();
        for (const [name, round] of this.rounds) {
            this.refuseAll(name, round);
        }
    }

    take(organisation: Organisation, { maxWaitMs, signal }: WaitOptions): Promise<UsageVerdict | undefined> {
        const nowMs = this.options.clock.getMonotonicMs();
        const { name } = organisation;
        const round = this.rounds.get(name) ?? { waiters: [], askId: undefined, timer: undefined };
        if (round.waiters.length >= maxWaiters) {
            return Promise.resolve(this.options.cap.take(organisation, nowMs));
        }
        this.rounds.set(name, round);
        return new Promise(resolve => {
            round.waiters.push({ organisation, untilMs: nowMs + maxWaitMs, signal, resolve });
            if (round.askId === undefined) {
                this.serveRound(name, round);
            }
        });
    }

    /** Answers the ask of another daemon. */
    handleAsk(daemonId: string, { amount, id, organisation }: AllowanceAsk): void {
        const { clock, findDaemon, findOrganisation, lender, transport } = this.options;
        const borrower = findDaemon(daemonId);
        const known = findOrganisation(organisation);
        if (borrower === undefined) {
            this.options.metrics.addCount("usage_cap.unknown_asks");
            return;
        }
        if (known === undefined) {
            // The configuration with the organisation is on its way; silence would hold the other ones up.
            this.options.metrics.addCount("usage_cap.unknown_asks");
            transport.sendGrant(borrower, { amount: 0, emptyMs: unknownOrganisationMs, id });
            return;
        }
        transport.sendGrant(borrower, { ...lender.take(known, amount, clock.getMonotonicMs()), id });
    }

    /** Takes over the answer of a lender. An answer that is late may still serve other requests. */
    handleGrant(daemonId: string, { amount, emptyMs, id }: AllowanceGrant): void {
        const { cap, clock, metrics } = this.options;
        const ask = this.asks.get(id);
        if (ask?.lenderId !== daemonId) {
            metrics.addCount("usage_cap.unknown_grants");
            return;
        }
        this.asks.delete(id);
        const { askedAtMs, organisation } = ask;
        const nowMs = clock.getMonotonicMs();
        if (amount > 0) {
            metrics.addCount("usage_cap.grants");
        }
        else {
            metrics.addCount("usage_cap.denials");
        }
        metrics.recordTime("usage_cap.round_trip", nowMs - askedAtMs);
        cap.recordLoan(organisation, daemonId, { amount, emptyMs }, { askedAtMs, nowMs });
        const round = this.rounds.get(organisation.name);
        if (round !== undefined && (round.askId === id || amount > 0)) {
            this.serveRound(organisation.name, round);
        }
    }

    /** Serves the requests that wait, and asks the next lender for the rest. */
    private serveRound(name: string, round: Round): void {
        const { cap, clock, lender } = this.options;
        round.timer?.close();
        round.askId = undefined;
        for (;;) {
            const nowMs = clock.getMonotonicMs();
            this.serveWaiters(round, nowMs);
            const [first] = round.waiters;
            if (first === undefined) {
                this.rounds.delete(name);
                return;
            }
            const { organisation } = first;
            const choice = cap.selectLender(organisation, round.waiters.length, nowMs);
            if (choice === undefined) {
                this.refuseAll(name, round);
                return;
            }
            if (!choice.isLocal) {
                this.sendAsk(name, round, choice.lender, { organisation, amount: choice.amount });
                return;
            }
            const loan = lender.take(organisation, choice.amount, nowMs);
            cap.recordLoan(organisation, choice.lender.id, loan, { askedAtMs: nowMs, nowMs });
        }
    }

    /** Settles the first requests as far as allowances are at hand, and those that have waited too long. */
    private serveWaiters({ waiters }: Round, nowMs: number): void {
        for (let first = waiters[0]; first !== undefined; first = waiters[0]) {
            const { organisation, resolve, signal, untilMs } = first;
            if (signal?.aborted === true) {
                resolve(undefined);
            }
            else {
                const verdict = this.options.cap.take(organisation, nowMs);
                if (!verdict.isAllowed && nowMs < untilMs) {
                    return;
                }
                resolve(verdict);
            }
            waiters.shift();
        }
    }

    private sendAsk(
        name: string,
        round: Round,
        lender: DaemonInfo,
        { amount, organisation }: { readonly amount: number; readonly organisation: Organisation; },
    ): void {
        const { cap, clock, metrics, timers, transport } = this.options;
        const askedAtMs = clock.getMonotonicMs();
        this.removeExpiredAsks(askedAtMs);
        const id = this.nextId;
        this.nextId += 1;
        round.askId = id;
        this.asks.set(id, { organisation, lenderId: lender.id, askedAtMs });
        metrics.addCount("usage_cap.asks");
        transport.sendAsk(lender, { id, organisation: name, amount });
        round.timer = timers.start(answerTimeoutMs, () => {
            metrics.addCount("usage_cap.silent_lenders");
            cap.recordSilence(lender.id, clock.getMonotonicMs());
            this.serveRound(name, round);
        });
    }

    private refuseAll(name: string, round: Round): void {
        const nowMs = this.options.clock.getMonotonicMs();
        round.timer?.close();
        this.rounds.delete(name);
        for (const { organisation, resolve } of round.waiters.splice(0)) {
            resolve(this.options.cap.take(organisation, nowMs));
        }
    }

    /** Forgets asks whose allowances would have expired. */
    private removeExpiredAsks(nowMs: number): void {
        for (const [id, { askedAtMs }] of this.asks) {
            if (nowMs - askedAtMs < allowanceLifeMs) {
                return;
            }
            this.asks.delete(id);
        }
    }
}
