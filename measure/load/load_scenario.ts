import type { ServiceConfig } from "../../src/config/service_config.ts";
import type { LoadStream } from "./load_stream.ts";
import type { UpstreamProfile } from "./upstream_profile.ts";

/** A deployment under a load. */
export interface LoadScenario {
    readonly name: string;
    readonly service: ServiceConfig;
    readonly upstreams: number;
    readonly slots: number;
    readonly entryDaemons: number;
    /** One-way latency in milliseconds between daemons. */
    readonly hopMs: number;
    readonly profile: UpstreamProfile;
    readonly streams: readonly LoadStream[];
    /** Requests of a caller for one operation, including the first. */
    readonly maxCallerRequests: number;
    /** Phase before the measurement in milliseconds. */
    readonly warmUpMs: number;
    readonly measuredMs: number;
    readonly recoveryMs: number;
}
