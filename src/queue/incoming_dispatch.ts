import type { OwnerRequest } from "./owner_request.ts";

/** An attempt as a front end for other daemons hands it over: names in place of configuration. */
export interface IncomingDispatch
    extends Omit<OwnerRequest, "service" | "route" | "receivedAtMs" | "deadlineMs"> {
    readonly service: string;
    readonly route: string;
    /** Time budget in milliseconds at receipt. */
    readonly remainingMs: number;
}
