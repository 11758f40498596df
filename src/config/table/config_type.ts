import type { ConfigFields } from "../config_fields.ts";
import { RecordType } from "../fields/record_type.ts";
import { TextType } from "../fields/text_type.ts";
import { servicesType } from "./services_type.ts";

/** Fields of the configuration, used by parsing, `check --explain`, the JSON schema and the documentation. */
export const configType = new RecordType<ConfigFields>({
    team: {
        type: new TextType({
            meaning: "text without control characters, not blank,",
            pattern: /^(?=.*\S)[^\u0000-\u001f\u007f-\u009f]+$/,
            maxLength: 200,
        }),
        description: "Team that is responsible for this configuration.",
    },
    services: {
        type: servicesType,
        description: "Services by name, at least one.",
    },
});
