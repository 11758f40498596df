/**
 * Lends parts of the caps of organisations to daemons.
 *
 * @example
 * ```ts
 * const { amount, emptyMs } = lender.take(organisation, 3, nowMs);
 * ```
 *
 * @module
 */
import type { Organisation } from "../config/organisation.ts";
import { allowanceLifeMs } from "./allowance_life_ms.ts";
import type { AllowanceLimits } from "./allowance_limits.ts";
import type { AllowanceLoan } from "./allowance_loan.ts";
import { computeAllowanceLimits } from "./compute_allowance_limits.ts";
import type { LenderDirectory } from "./lender_directory.ts";
import { LentWindow } from "./lent_window.ts";
import type { UsageCapBounds } from "./usage_cap_bounds.ts";

interface Options {
    readonly directory: LenderDirectory;
    readonly getBounds: () => UsageCapBounds;
    /** Milliseconds since the list of daemons was last confirmed by the store; infinite when it never was. */
    readonly getListAgeMs: () => number;
    /** Milliseconds for which a daemon lends by a list that nothing confirms. */
    readonly maxListAgeMs: number;
}

interface Stock {
    readonly lent: LentWindow;
    lentAtMs: number;
    windowMs: number;
    /** Time at which the borrower that was refused last may ask again. */
    lastTurnMs: number;
}

/** Shortest time for which a borrower is told not to ask again. */
const minEmptyMs = 20;
/** Longest time for which a refused borrower waits for those before it, once there is something to lend. */
const maxTurnMs = 1_000;
/** Time for which a daemon that does not lend need not be asked again. */
const notLendingMs = 1_000;
/** Stocks that one call checks for removal. */
const checksPerEviction = 500;

/** Counts what it has lent to each organisation within the window. */
export class AllowanceLender {
    private readonly stocks = new Map<string, Stock>();
    /** Continues where the last call of `evict` ended. */
    private unchecked = this.stocks.entries();

    constructor(private readonly options: Options) {}

    /** Takes up to `amount` requests of the stock of an organisation. */
    take(organisation: Organisation, amount: number, nowMs: number): AllowanceLoan {
        const { directory, getBounds, getListAgeMs, maxListAgeMs } = this.options;
        directory.update(nowMs);
        const bounds = getBounds();
        const daemons = directory.getDaemonCount(bounds.windowMs + allowanceLifeMs, nowMs);
        const limits = computeAllowanceLimits(organisation, bounds, daemons);
        const { lenderCapacity, lenders, lentWindowMs } = limits;
        const { name } = organisation;
        const sinceMs = directory.getLendingSinceMs(name, lenders);
        if (sinceMs === undefined || getListAgeMs() > maxListAgeMs) {
            return { amount: 0, emptyMs: notLendingMs };
        }
        // The former process of the instance, or the former lender, may have lent everything just before.
        const startMs = sinceMs + lentWindowMs;
        if (nowMs < startMs) {
            return { amount: 0, emptyMs: Math.max(minEmptyMs, Math.ceil(startMs - nowMs)) };
        }
        const stock = this.stocks.get(name)
            ?? { lent: new LentWindow(), lentAtMs: nowMs, windowMs: lentWindowMs, lastTurnMs: 0 };
        this.stocks.set(name, stock);
        const left = Math.max(0, Math.floor(stock.lent.countLeft(lenderCapacity, lentWindowMs, nowMs)));
        const loan = Math.min(amount, left);
        if (loan > 0) {
            stock.lent.add(loan, lenderCapacity, nowMs);
            stock.lentAtMs = nowMs;
            stock.windowMs = lentWindowMs;
        }
        return { amount: loan, emptyMs: loan === amount ? 0 : this.takeTurn(stock, limits, nowMs) };
    }

    /** Removes some of the stocks of which nothing is lent any more; called periodically. */
    evict(nowMs: number): void {
        for (let checked = 0; checked < checksPerEviction; checked += 1) {
            const next = this.unchecked.next();
            if (next.done === true) {
                this.unchecked = this.stocks.entries();
                return;
            }
            const [name, { lentAtMs, windowMs }] = next.value;
            if (nowMs - lentAtMs > 2 * windowMs) {
                this.stocks.delete(name);
            }
        }
    }

    /**
     * Milliseconds after which a refused borrower may ask again: each gets another time after the oldest part
     * expires, in steps in which the lender can lend one request in the long run.
     */
    private takeTurn(stock: Stock, limits: AllowanceLimits, nowMs: number): number {
        const { lenderCapacity, lentWindowMs } = limits;
        const expiryMs = Math.max(nowMs, stock.lent.findNextExpiryMs(lentWindowMs) ?? nowMs);
        const stepMs = lentWindowMs / Math.max(lenderCapacity, 1);
        stock.lastTurnMs = Math.min(Math.max(stock.lastTurnMs + stepMs, expiryMs), expiryMs + maxTurnMs);
        return Math.max(minEmptyMs, Math.ceil(stock.lastTurnMs - nowMs));
    }
}
