import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import type { MessageHeader } from "../core/message_header.ts";

/** One attempt as received by the owner of its upstream. */
export interface OwnerRequest {
    readonly requestId: string;
    readonly attempt: number;
    readonly upstreamId: string;
    readonly service: ServiceConfig;
    readonly route: RouteConfig;
    readonly organisation: string;
    readonly idempotencyKey: string | undefined;
    /** Time of receipt by the entry daemon, in monotonic milliseconds of this process. */
    readonly receivedAtMs: number;
    /** Monotonic milliseconds of this process. */
    readonly deadlineMs: number;
    /** Incarnation of the owner that the entry daemon addressed; undefined when it knew none. */
    readonly ownerIncarnation?: string | undefined;
    /** Service time in milliseconds above which the answer counts as slow; 0 when no baseline is known. */
    readonly baselineMs: number;
    /** True for a trial request to a suspected or ejected upstream. */
    readonly trial: boolean;
    /**
     * True when the entry daemon will try another upstream at once if the owner refuses the attempt with
     * `RetryElsewhere`. False when no other upstream is left and after two such refusals, so that a request
     * is redirected at most twice.
     */
    readonly redirectable?: boolean;
    /** Fault probability above which the attempt is refused before dispatch; undefined when it never is. */
    readonly faultLimit?: number | undefined;
    /** True when the entry daemon is in another failure domain. */
    readonly remote?: boolean;
    /** True when an earlier attempt of the request has reached an upstream. */
    readonly repeat?: boolean;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly MessageHeader[];
    readonly body: Uint8Array;
    /** Aborted when the entry daemon abandons the attempt. */
    readonly signal: AbortSignal;
}
