/**
 * Usage caps that hold for the whole fleet.
 *
 * A few daemons, different ones for each organisation, lend parts of its cap to the others. A daemon takes a
 * request against an allowance that it holds, or against its own share of a floor that needs no lender. What
 * lenders lend and the floors of all daemons are within the bounds together, whoever can reach whom.
 *
 * @example
 * ```ts
 * if (!cap.take(organisation, nowMs).isAllowed) {
 *     const choice = cap.selectLender(organisation, 1, nowMs);
 *     // The choice is asked, and its answer recorded:
 *     cap.recordLoan(organisation, choice.lender.id, loan, { askedAtMs, nowMs });
 * }
 * ```
 *
 * @module
 */
import type { Organisation } from "../config/organisation.ts";
import type { RandomSource } from "../core/random_source.ts";
import { SlidingWindowCounter } from "../forward/sliding_window_counter.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import { allowanceLifeMs } from "./allowance_life_ms.ts";
import type { AllowanceLoan } from "./allowance_loan.ts";
import { computeAllowanceLimits } from "./compute_allowance_limits.ts";
import { HeldAllowances } from "./held_allowances.ts";
import type { LenderChoice } from "./lender_choice.ts";
import type { LenderDirectory } from "./lender_directory.ts";
import type { UsageCap } from "./usage_cap.ts";
import type { UsageCapBounds } from "./usage_cap_bounds.ts";
import type { UsageVerdict } from "./usage_verdict.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    /** Start of this process in monotonic milliseconds. */
    readonly startedAtMs: number;
    readonly directory: LenderDirectory;
    readonly random: RandomSource;
    readonly getBounds: () => UsageCapBounds;
    /** Milliseconds since the list of daemons was last confirmed by the store; infinite when it never was. */
    readonly getListAgeMs: () => number;
    /** Milliseconds for which a daemon uses the floor by a list that nothing confirms. */
    readonly maxFloorAgeMs: number;
}

/** What this daemon knows of an organisation that has sent requests recently. */
interface Usage {
    usedAtMs: number;
    readonly held: HeldAllowances;
    /** Requests taken against the floor. */
    readonly floorTaken: SlidingWindowCounter;
    readonly taken: SlidingWindowCounter;
    readonly refused: SlidingWindowCounter;
    /** Time until which a lender has nothing to lend. */
    readonly emptyUntilMs: Map<string, number>;
}

/** Span over which the rates of taken and refused requests are measured. */
const rateWindowMs = 1_000;
/** Span for which requests are asked for in advance; at 10 requests a second one is, at fewer none. */
const advanceMs = 100;
/** Time for which a lender that did not answer is asked only after the others. */
const silenceMs = 1_000;
const maxRetryAfterMs = 5_000;
/** Organisations that one call checks for removal. */
const checksPerEviction = 500;

/** Decides whether a request is within the cap of its organisation, and whom to ask for more. */
export class FleetUsageCap implements UsageCap {
    private readonly usages = new Map<string, Usage>();
    /** Continues where the last call of `evict` ended. */
    private unchecked = this.usages.entries();
    /** Time until which a lender is asked last, for any organisation, because it has not answered. */
    private readonly silentUntilMs = new Map<string, number>();

    constructor(private readonly options: Options) {}

    take(organisation: Organisation, nowMs: number): UsageVerdict {
        if (organisation.requestsPerSecond <= 0) {
            return { isAllowed: true, remaining: Infinity, retryAfterMs: 0 };
        }
        const usage = this.getUsage(organisation, nowMs);
        if (!usage.held.take(organisation, nowMs)) {
            if (this.countFloorLeft(organisation, usage, nowMs) < 1) {
                return this.decide(organisation, nowMs);
            }
            usage.floorTaken.add(1, nowMs);
        }
        usage.taken.add(1, nowMs);
        const left = usage.held.count(organisation, nowMs) + this.countFloorLeft(organisation, usage, nowMs);
        return { isAllowed: true, remaining: left, retryAfterMs: 0 };
    }

    decide(organisation: Organisation, nowMs: number): UsageVerdict {
        if (organisation.requestsPerSecond <= 0) {
            return { isAllowed: true, remaining: Infinity, retryAfterMs: 0 };
        }
        const usage = this.usages.get(organisation.name) ?? this.createUsage(nowMs);
        const remaining = usage.held.count(organisation, nowMs)
            + this.countFloorLeft(organisation, usage, nowMs);
        const isAllowed = remaining >= 1;
        return { isAllowed, remaining, retryAfterMs: isAllowed ? 0 : this.computeRetryAfterMs(usage, nowMs) };
    }

    /** Records that a request of the organisation was refused. */
    recordRefusal(organisation: Organisation, nowMs: number): void {
        this.getUsage(organisation, nowMs).refused.add(1, nowMs);
    }

    /** Selects the lender to ask for `waiting` requests; undefined when none has anything to lend. */
    selectLender(organisation: Organisation, waiting: number, nowMs: number): LenderChoice | undefined {
        const { daemonId, directory, failureDomain, random } = this.options;
        const usage = this.getUsage(organisation, nowMs);
        const ranked = directory.listRanked(organisation.name);
        let best: DaemonInfo | undefined;
        let bestCost = Infinity;
        for (const lender of ranked.slice(0, this.computeLimits(organisation, nowMs).lenders)) {
            if ((usage.emptyUntilMs.get(lender.id) ?? 0) > nowMs) {
                continue;
            }
            const isSilent = (this.silentUntilMs.get(lender.id) ?? 0) > nowMs;
            const distance = lender.id === daemonId ? 0 : lender.failureDomain === failureDomain ? 1 : 2;
            const cost = (isSilent ? 3 : distance) + random.getFloat();
            if (cost < bestCost) {
                best = lender;
                bestCost = cost;
            }
        }
        if (best === undefined) {
            return undefined;
        }
        const advance = Math.floor(usage.taken.get(nowMs) * advanceMs / rateWindowMs);
        return { lender: best, isLocal: best.id === daemonId, amount: waiting + advance };
    }

    /** Records the answer of a lender. `askedAtMs` is the time at which this daemon sent its ask. */
    recordLoan(
        organisation: Organisation,
        lenderId: string,
        { amount, emptyMs }: AllowanceLoan,
        { askedAtMs, nowMs }: { readonly askedAtMs: number; readonly nowMs: number; },
    ): void {
        const usage = this.getUsage(organisation, nowMs);
        usage.held.add(organisation, amount, askedAtMs + allowanceLifeMs);
        this.silentUntilMs.delete(lenderId);
        if (emptyMs > 0) {
            usage.emptyUntilMs.set(lenderId, nowMs + emptyMs);
        }
        else {
            usage.emptyUntilMs.delete(lenderId);
        }
    }

    /** Records that a lender has not answered in time. */
    recordSilence(lenderId: string, nowMs: number): void {
        for (const [id, untilMs] of this.silentUntilMs) {
            if (untilMs <= nowMs) {
                this.silentUntilMs.delete(id);
            }
        }
        this.silentUntilMs.set(lenderId, nowMs + silenceMs);
    }

    /** Removes some of the organisations whose requests no longer count in any window; called periodically. */
    evict(nowMs: number): void {
        const idleMs = 2 * Math.max(this.options.getBounds().windowMs, rateWindowMs);
        for (let checked = 0; checked < checksPerEviction; checked += 1) {
            const next = this.unchecked.next();
            if (next.done === true) {
                this.unchecked = this.usages.entries();
                return;
            }
            const [name, { usedAtMs }] = next.value;
            if (nowMs - usedAtMs > idleMs) {
                this.usages.delete(name);
            }
        }
    }

    countOrganisations(): number {
        return this.usages.size;
    }

    /** Requests that this daemon may still take against its share of the floor in the current window. */
    private countFloorLeft(organisation: Organisation, usage: Usage, nowMs: number): number {
        const { directory, getBounds, getListAgeMs, maxFloorAgeMs, startedAtMs } = this.options;
        const daemons = directory.getFloorCount();
        const rank = directory.getFloorRank(organisation.name);
        // The former process of the instance may have used its share just before.
        if (rank < 0 || nowMs - startedAtMs < getBounds().windowMs || getListAgeMs() > maxFloorAgeMs) {
            return 0;
        }
        const floor = Math.floor(this.computeLimits(organisation, nowMs).floor);
        const extra = rank < floor % daemons ? 1 : 0;
        return Math.max(0, Math.floor(floor / daemons) + extra - usage.floorTaken.get(nowMs));
    }

    private computeLimits(organisation: Organisation, nowMs: number) {
        const { directory, getBounds } = this.options;
        return computeAllowanceLimits(organisation, getBounds(), directory.getDaemonCount(nowMs));
    }

    /** Time at which a lender is expected to lend again, spread by the number of refused requests. */
    private computeRetryAfterMs(usage: Usage, nowMs: number): number {
        const waits = [...usage.emptyUntilMs.values()].map(untilMs => untilMs - nowMs).filter(waitMs =>
            waitMs > 0
        );
        const soonestMs = waits.length === 0 ? rateWindowMs : Math.min(...waits);
        const refused = usage.refused.get(nowMs);
        const spreadMs = rateWindowMs * refused / Math.max(1, usage.taken.get(nowMs));
        const retryAfterMs = soonestMs + this.options.random.getFloat() * Math.max(soonestMs, spreadMs);
        return Math.min(maxRetryAfterMs, Math.ceil(retryAfterMs));
    }

    private getUsage({ name }: Organisation, nowMs: number): Usage {
        this.options.directory.update(nowMs);
        const usage = this.usages.get(name) ?? this.createUsage(nowMs);
        usage.usedAtMs = nowMs;
        this.usages.set(name, usage);
        return usage;
    }

    private createUsage(nowMs: number): Usage {
        return {
            usedAtMs: nowMs,
            held: new HeldAllowances(),
            floorTaken: new SlidingWindowCounter(this.options.getBounds().windowMs),
            taken: new SlidingWindowCounter(rateWindowMs),
            refused: new SlidingWindowCounter(rateWindowMs),
            emptyUntilMs: new Map(),
        };
    }
}
