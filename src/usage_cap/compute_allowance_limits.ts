import type { Organisation } from "../config/organisation.ts";
import { allowanceLifeMs } from "./allowance_life_ms.ts";
import type { AllowanceLimits } from "./allowance_limits.ts";
import type { UsageCapBounds } from "./usage_cap_bounds.ts";

type Cap = Pick<Organisation, "requestsPerSecond" | "burst">;

/** With eight lenders, one that fails takes an eighth of the cap with it until it returns. */
const maxLenders = 8;
/** With two lenders, an organisation of low rate is not refused while one of them restarts. */
const minLenders = 2;
/** Requests in a window for which one more lender is used; fewer would leave lenders without a whole request. */
const minRequestsPerLender = 4;
/** Smallest burst of a lender in requests: one that is asked twice in a row can still lend. */
const minLenderBurst = 2;
/**
 * Share of what the bounds leave that lenders get: with the burst alone, some of them would be full and lose
 * requests while others are empty.
 */
const lentSpareShare = 0.5;
/** Share of the floor that is used. The rest covers daemons whose list is up to a fifth shorter than the newest. */
const usableFloorShare = 0.8;

/**
 * Divides a cap so that, over all daemons and in any window, what lenders lend and what daemons take without an
 * allowance stays within the bounds. An allowance is used within its life, so that the requests of one window
 * come from what was lent in a window that is longer by that life.
 */
export function computeAllowanceLimits(cap: Cap, bounds: UsageCapBounds, daemons: number): AllowanceLimits {
    const windowS = bounds.windowMs / 1_000;
    const lentS = windowS + allowanceLifeMs / 1_000;
    const inWindow = cap.requestsPerSecond * windowS;
    const total = (inWindow + cap.burst) * (1 + bounds.overage) + bounds.slack;
    const wanted = Math.floor(inWindow / minRequestsPerLender);
    let lenders = Math.min(Math.max(1, daemons), maxLenders, Math.max(minLenders, wanted));
    while (lenders > 1 && lenders * minLenderBurst + cap.requestsPerSecond * lentS > total) {
        lenders -= 1;
    }
    const burst = Math.min(Math.max(cap.burst, lenders * minLenderBurst), Math.max(1, total));
    const rate = Math.max(0, Math.min(cap.requestsPerSecond, (total - burst) / lentS));
    // A lender that restarts after its place moved to it may lend beside the former lender for one window.
    const handover = rate / lenders * windowS;
    const spare = Math.max(0, total - burst - rate * lentS - handover);
    return {
        lenders,
        lenderRate: rate / lenders,
        lenderBurst: (burst + spare * lentSpareShare) / lenders,
        floor: spare * (1 - lentSpareShare) * usableFloorShare,
    };
}
