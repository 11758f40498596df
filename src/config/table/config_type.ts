import type { ConfigFields } from "../config_fields.ts";
import { ListType } from "../fields/list_type.ts";
import { RecordType } from "../fields/record_type.ts";
import { TextType } from "../fields/text_type.ts";
import type { PartReference } from "../part_reference.ts";
import { servicesType } from "./services_type.ts";

const partType = new RecordType<PartReference>({
    name: {
        type: new TextType({
            meaning: "letters, digits, `.`, `_` and `-`, beginning with a letter,",
            pattern: /^[A-Za-z][A-Za-z0-9._-]*$/,
            maxLength: 100,
        }),
        description: "Name of the published value, or of the file beside the configuration.",
    },
    digest: {
        type: new TextType({
            meaning: "a SHA-256 digest in lower-case hexadecimal",
            pattern: /^[0-9a-f]{64}$/,
            maxLength: 64,
        }),
        description: "SHA-256 of its content. Parts of different versions are therefore never mixed.",
    },
});

/** Fields of the configuration: the one table behind parsing, `check --explain`, the schema and the page. */
export const configType = new RecordType<ConfigFields>({
    team: {
        type: new TextType({
            meaning: "text without control characters, not blank,",
            pattern: /^(?=.*\S)[^\u0000-\u001f\u007f-\u009f]+$/,
            maxLength: 200,
        }),
        description: "Who answers for this configuration.",
    },
    services: {
        type: servicesType,
        defaultValue: new Map(),
        description: "Services by name. The configuration with its parts has at least one.",
    },
    parts: {
        type: new ListType(partType, 100),
        defaultValue: [],
        description: "Further published values with services, for a configuration above one megabyte.",
    },
});
