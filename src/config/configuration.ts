import type { CallerLimits } from "./caller_limits.ts";
import type { Organisation } from "./organisation.ts";
import type { PrefixRoute } from "./prefix_route.ts";
import type { ServiceConfig } from "./service_config.ts";

/** The operators' configuration, with defaults for the values that it leaves out. */
export interface Configuration {
    /** Team that is responsible for this configuration. */
    readonly team: string;
    readonly services: ReadonlyMap<string, ServiceConfig>;
    /** Routes in addition to those of the services; configurations in YAML have none. */
    readonly prefixRoutes?: readonly PrefixRoute[];
    /** Limits of callers; those of the daemon when absent. */
    readonly callerLimits?: CallerLimits;
    /** Organisations by name; absent when requests need no key. */
    readonly organisations?: ReadonlyMap<string, Organisation> | undefined;
}
