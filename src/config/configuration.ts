import type { PrefixRoute } from "./prefix_route.ts";
import type { ServiceConfig } from "./service_config.ts";

/** The operators' configuration with every value filled in. */
export interface Configuration {
    /** Who answers for this configuration. */
    readonly team: string;
    readonly services: ReadonlyMap<string, ServiceConfig>;
    /** Routes beside those of the services; configurations in YAML have none. */
    readonly prefixRoutes?: readonly PrefixRoute[];
}
