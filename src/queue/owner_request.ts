import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import type { MessageHeader } from "../core/message_header.ts";

/** One attempt as the owner of its upstream received it. */
export interface OwnerRequest {
    readonly requestId: string;
    readonly attempt: number;
    readonly upstreamId: string;
    readonly service: ServiceConfig;
    readonly route: RouteConfig;
    readonly organisation: string;
    readonly idempotencyKey: string | undefined;
    /** Receipt by the entry daemon, in monotonic milliseconds of this process. */
    readonly receivedAtMs: number;
    readonly deadlineMs: number;
    /** Incarnation of the owner that the sender addressed; undefined when it knew none. */
    readonly ownerIncarnation?: string | undefined;
    readonly baselineMs: number;
    readonly trial: boolean;
    /**
     * True when the entry daemon will try another upstream at once if this one answers `RetryElsewhere`. Not set when
     * no other upstream is left or after two such answers, so that a request is redirected at most twice.
     */
    readonly redirectable?: boolean;
    /** Probability of a fault above which the attempt is refused before dispatch; undefined when it never is. */
    readonly faultLimit?: number | undefined;
    /** True when the entry daemon is in another failure domain. */
    readonly remote?: boolean;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
    /** Aborted when the entry daemon closes the hop. */
    readonly signal: AbortSignal;
}
