import { configType } from "../../src/config/table/config_type.ts";

/** The text of docs/configuration.schema.json. */
export function formatSchema(): string {
    const schema = {
        $schema: "https://json-schema.org/draft/2020-12/schema",
        title: "Configuration of zinniaglade",
        ...configType.buildSchema(),
    };
    return `${JSON.stringify(schema, undefined, 4)}\n`;
}
