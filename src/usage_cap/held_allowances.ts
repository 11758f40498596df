import type { Organisation } from "../config/organisation.ts";

type Cap = Pick<Organisation, "requestsPerSecond" | "burst">;

interface Allowance {
    amount: number;
    readonly expiresAtMs: number;
}

/** Allowances of one organisation that this daemon has borrowed, soonest to expire first. */
export class HeldAllowances {
    private allowances: Allowance[] = [];
    private cap: Cap = { requestsPerSecond: 0, burst: 0 };

    add(cap: Cap, amount: number, expiresAtMs: number): void {
        this.update(cap);
        if (amount > 0) {
            this.allowances.push({ amount, expiresAtMs });
            this.allowances.sort((left, right) => left.expiresAtMs - right.expiresAtMs);
        }
    }

    /** Takes one request. */
    take(cap: Cap, nowMs: number): boolean {
        this.removeExpired(cap, nowMs);
        const [first] = this.allowances;
        if (first === undefined) {
            return false;
        }
        first.amount -= 1;
        return true;
    }

    count(cap: Cap, nowMs: number): number {
        this.removeExpired(cap, nowMs);
        return this.allowances.reduce((sum, { amount }) => sum + amount, 0);
    }

    private removeExpired(cap: Cap, nowMs: number): void {
        this.update(cap);
        if (this.allowances.some(({ amount, expiresAtMs }) => amount < 1 || expiresAtMs <= nowMs)) {
            this.allowances = this.allowances.filter(({ amount, expiresAtMs }) =>
                amount >= 1 && expiresAtMs > nowMs
            );
        }
    }

    /** Drops allowances of a higher cap: a lower one holds from its configuration on. */
    private update({ burst, requestsPerSecond }: Cap): void {
        if (requestsPerSecond < this.cap.requestsPerSecond || burst < this.cap.burst) {
            this.allowances = [];
        }
        this.cap = { burst, requestsPerSecond };
    }
}
