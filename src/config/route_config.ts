import type { WorkClass } from "../core/work_class.ts";
import type { ExpectConfig } from "./expect_config.ts";

export interface RouteConfig {
    /** Unique in the configuration. */
    readonly name: string;
    readonly service: string;
    readonly method: string;
    /** Path pattern; `{name}` matches one segment, a trailing `*` the rest. */
    readonly path: string;
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    readonly deadlineMs: number;
    /** Service time in milliseconds to assume before any is measured. */
    readonly serviceMs: number;
    readonly maxRequestBytes: number;
    readonly maxAnswerBytes: number;
    readonly expect: ExpectConfig;
    /** Statuses by which the upstream declares that it did not execute the request. */
    readonly shedStatuses: readonly number[];
    /** Rank of the work, 0 is the most urgent. */
    readonly priority: number;
    /** Upstreams to which one request may be sent; refusals before dispatch do not count. */
    readonly maxAttempts: number;
    /** Milliseconds in which an answer should arrive; 0 when only the deadline counts. */
    readonly targetMs: number;
    /** Weight of each service that shares the requests of the route; empty when all go to `service`. */
    readonly split: ReadonlyMap<string, number>;
    /** True when requests need no key although the configuration lists organisations. */
    readonly public?: boolean;
}
