import type { ConfigFields } from "../config_fields.ts";
import { RecordType } from "../fields/record_type.ts";
import { servicesType } from "./services_type.ts";

/** Fields of a part of the configuration. */
export const partFieldsType = new RecordType<Pick<ConfigFields, "services">>({
    services: { type: servicesType, description: "Services by name." },
});
