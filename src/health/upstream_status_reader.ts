import type { ServiceConfig } from "../config/service_config.ts";
import type { UpstreamStatus } from "./upstream_status.ts";

/** Gives the health of the upstreams as this daemon sees it. */
export interface UpstreamStatusReader {
    listStatus(service: ServiceConfig): readonly UpstreamStatus[];
}
