import type { OwnerRequest } from "./owner_request.ts";
import type { RouteTerms } from "./route_terms.ts";

/** An attempt as a front end for other daemons hands it over: names in place of configuration. */
export interface IncomingDispatch
    extends Omit<OwnerRequest, "service" | "route" | "receivedAtMs" | "deadlineMs"> {
    readonly service: string;
    readonly route: string;
    /** Present when the owner shall not look the route up in its own configuration, which may be older. */
    readonly terms?: RouteTerms | undefined;
    /** Milliseconds since the entry daemon received the request. */
    readonly elapsedMs?: number;
    /** Time budget in milliseconds at receipt. */
    readonly remainingMs: number;
}
