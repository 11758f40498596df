import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { AllowanceAsk } from "./allowance_ask.ts";
import type { AllowanceGrant } from "./allowance_grant.ts";

/** Sends asks and grants without retransmission. */
export interface AllowanceTransport {
    sendAsk(lender: DaemonInfo, ask: AllowanceAsk): void;
    sendGrant(borrower: DaemonInfo, grant: AllowanceGrant): void;
}
