import type { OwnerRequest } from "./owner_request.ts";
import type { RouteTerms } from "./route_terms.ts";

/** An attempt received from another daemon. Service and route are given by name. */
export interface IncomingDispatch
    extends Omit<OwnerRequest, "service" | "route" | "receivedAtMs" | "deadlineMs"> {
    readonly service: string;
    readonly route: string;
    /** Present when the owner uses these terms and not its own configuration, which may be older. */
    readonly terms?: RouteTerms | undefined;
    /** Milliseconds since the entry daemon received the request. */
    readonly elapsedMs?: number;
    /** Milliseconds left until the deadline, at receipt. */
    readonly remainingMs: number;
}
