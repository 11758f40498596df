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
import type { AllowanceLoan } from "./allowance_loan.ts";
import { computeAllowanceLimits } from "./compute_allowance_limits.ts";
import type { LenderDirectory } from "./lender_directory.ts";
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
    /** Requests that may be lent now, not a whole number. */
    level: number;
    updatedAtMs: number;
    lendingSinceMs: number;
    rate: number;
    burst: number;
    /** Time at which the borrower that was refused last may ask again. */
    lastTurnMs: number;
}

/** Shortest and longest time for which a borrower is told not to ask again. */
const minEmptyMs = 20;
const maxEmptyMs = 2_000;
/** Time for which a daemon that does not lend need not be asked again. */
const notLendingMs = 1_000;
/** Stocks that one call checks for removal. */
const checksPerEviction = 500;

/** Token bucket for each organisation that has recently been asked for. */
export class AllowanceLender {
    private readonly stocks = new Map<string, Stock>();
    /** Continues where the last call of `evict` ended. */
    private unchecked = this.stocks.entries();

    constructor(private readonly options: Options) {}

    /** Takes up to `amount` requests of the stock of an organisation. */
    take(organisation: Organisation, amount: number, nowMs: number): AllowanceLoan {
        const { directory, getBounds, getListAgeMs, maxListAgeMs } = this.options;
        directory.update(nowMs);
        const { lenderBurst, lenderRate, lenders } = computeAllowanceLimits(
            organisation,
            getBounds(),
            directory.getDaemonCount(nowMs),
        );
        const { name } = organisation;
        const sinceMs = directory.getLendingSinceMs(name, lenders);
        if (sinceMs === undefined || sinceMs > nowMs || getListAgeMs() > maxListAgeMs) {
            return { amount: 0, emptyMs: notLendingMs };
        }
        const stock = this.updateStock(name, sinceMs, { lenderBurst, lenderRate }, nowMs);
        const lent = Math.min(amount, Math.floor(stock.level));
        stock.level -= lent;
        if (lent === amount) {
            return { amount, emptyMs: 0 };
        }
        return { amount: lent, emptyMs: this.takeTurn(stock, nowMs) };
    }

    /** Removes some of the stocks that are full again: a new one would start full too. Called periodically. */
    evict(nowMs: number): void {
        for (let checked = 0; checked < checksPerEviction; checked += 1) {
            const next = this.unchecked.next();
            if (next.done === true) {
                this.unchecked = this.stocks.entries();
                return;
            }
            const [name, { burst, lendingSinceMs, level, rate, updatedAtMs }] = next.value;
            const isFull = level + rate * (nowMs - updatedAtMs) / 1_000 >= burst
                && rate * (nowMs - lendingSinceMs) / 1_000 >= burst
                && nowMs - updatedAtMs > maxEmptyMs;
            if (isFull) {
                this.stocks.delete(name);
            }
        }
    }

    /**
     * Milliseconds after which a refused borrower may ask again: each gets the time at which the stock gains one
     * more request. No turn is later than the time at which
     * the stock is full.
     */
    private takeTurn(stock: Stock, nowMs: number): number {
        const { burst, lastTurnMs, level, rate } = stock;
        const requestMs = 1_000 / Math.max(rate, 1e-6);
        const latestMs = Math.min(maxEmptyMs, Math.max(minEmptyMs, burst * requestMs));
        const turnMs = Math.max(lastTurnMs, nowMs - level * requestMs) + requestMs;
        stock.lastTurnMs = Math.min(turnMs, nowMs + latestMs);
        return Math.max(minEmptyMs, Math.ceil(stock.lastTurnMs - nowMs));
    }

    private updateStock(
        name: string,
        lendingSinceMs: number,
        { lenderBurst, lenderRate }: { readonly lenderBurst: number; readonly lenderRate: number; },
        nowMs: number,
    ): Stock {
        let stock = this.stocks.get(name);
        if (stock === undefined || lendingSinceMs > stock.updatedAtMs) {
            // The former process, or a former lender, may have lent a whole burst just before.
            stock = {
                level: 0,
                updatedAtMs: lendingSinceMs,
                lendingSinceMs,
                rate: 0,
                burst: 0,
                lastTurnMs: 0,
            };
        }
        stock.level = Math.min(lenderBurst, stock.level + lenderRate * (nowMs - stock.updatedAtMs) / 1_000);
        stock.updatedAtMs = nowMs;
        stock.lendingSinceMs = lendingSinceMs;
        stock.rate = lenderRate;
        stock.burst = lenderBurst;
        this.stocks.set(name, stock);
        return stock;
    }
}
