import type { ServiceFields } from "./service_fields.ts";

/** The fields of the configuration as its text lists them. */
export interface ConfigFields {
    readonly team: string;
    readonly services: ReadonlyMap<string, ServiceFields>;
}
