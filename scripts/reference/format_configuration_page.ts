import { configType } from "../../src/config/table/config_type.ts";
import { formatTable } from "./format_table.ts";

const introduction = `# Configuration

The operators' configuration is one YAML 1.2 text in UTF-8. \`zinniaglade check FILE\` reports every problem with its line and column, and \`zinniaglade check --explain FILE\` prints the configuration with every value filled in. Editors can use [configuration.schema.json](configuration.schema.json). \`node --import tsx scripts/write_reference.ts\` writes this page and the schema from the table of fields in \`src/config/table/\`.

\`NAME\` stands for a name that the operators choose. Anchors, aliases, tags and directives are refused, so that each value stands where it applies, and so are fields that this page does not list.

Rules over several fields:

- There is at least one service.
- Each entry of \`dependsOn\` is a service of the configuration, and dependencies form no cycle.
- \`floor\` is at most \`members\`, \`holdMinMs\` at most \`holdMaxMs\`, \`serviceMs\` at most \`deadlineMs\`.
- Names of routes are unique in the configuration. Two routes with the same method conflict when their paths differ in the names of parameters only.
- Of several routes that match a request, the first segment that differs decides: literal text takes precedence over \`{name}\`, and \`{name}\` over \`*\`. Paths with the segments \`.\` or \`..\` match no route.

A published value holds at most one megabyte. A larger configuration lists further values under \`parts\`, each with the SHA-256 digest of its content; a part is a YAML text with the field \`services\` only. A changed part needs a new name or replaces the old content before the configuration is published, and a daemon that reads contents with other digests changes nothing.

## Fields
`;

/** The text of docs/configuration.md. */
export function formatConfigurationPage(): string {
    const rows = configType.listRows("").map(({ field, type, unit, defaultValue, description }) => [
        `\`${field}\``,
        type,
        unit,
        defaultValue === undefined ? "required" : `\`${defaultValue}\``,
        description,
    ]);
    return `${introduction}\n${formatTable(["field", "type and range", "unit", "default", "meaning"], rows)}`;
}
