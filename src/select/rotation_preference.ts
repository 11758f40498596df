import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { Upstream } from "../core/upstream.ts";
import type { UpstreamPreference } from "../operations/upstream_preference.ts";
import type { PowerOfTwoSelector } from "./power_of_two_selector.ts";

interface Options {
    readonly config: ActiveConfigReader;
    readonly selector: PowerOfTwoSelector;
}

/** Prefers the upstreams that the selector has in rotation. */
export class RotationPreference implements UpstreamPreference {
    constructor(private readonly options: Options) {}

    isPreferred(upstream: Upstream): boolean {
        const { config, selector } = this.options;
        const service = config.getActive()?.configuration.services.get(upstream.service);
        return service !== undefined && selector.isAvailable(service, upstream);
    }
}
