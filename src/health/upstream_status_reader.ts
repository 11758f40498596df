import type { ServiceConfig } from "../config/service_config.ts";
import type { UpstreamStatus } from "./upstream_status.ts";

/** Provides the status of the upstreams at this daemon. */
export interface UpstreamStatusReader {
    listStatus(service: ServiceConfig): readonly UpstreamStatus[];
}
