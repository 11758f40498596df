import type { Configuration } from "./configuration.ts";
import { encodeService } from "./encode_service.ts";

/** Converts a configuration to plain data for YAML or JSON, including all default values. */
export function encodeConfiguration(configuration: Configuration): Readonly<Record<string, unknown>> {
    const services = [...configuration.services].map(([name, service]) => [name, encodeService(service)]);
    return { team: configuration.team, services: Object.fromEntries(services) as unknown };
}
