import type { Configuration } from "./configuration.ts";
import { encodeService } from "./encode_service.ts";

/** The configuration as YAML and JSON hold it, with every value filled in. */
export function encodeConfiguration(configuration: Configuration): Readonly<Record<string, unknown>> {
    const services = [...configuration.services].map(([name, service]) => [name, encodeService(service)]);
    return { team: configuration.team, services: Object.fromEntries(services) as unknown };
}
