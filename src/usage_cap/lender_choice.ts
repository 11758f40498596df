import type { DaemonInfo } from "../membership/daemon_info.ts";

/** The lender to ask next. */
export interface LenderChoice {
    readonly lender: DaemonInfo;
    /** True when this daemon is the lender. */
    readonly isLocal: boolean;
    /** Requests to ask for. */
    readonly amount: number;
}
