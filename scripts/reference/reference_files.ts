import { formatCodesPage } from "./format_codes_page.ts";
import { formatConfigurationPage } from "./format_configuration_page.ts";
import { formatSchema } from "./format_schema.ts";

/** The files of docs/ that are written from tables of the code, each with the function that gives its text. */
export const referenceFiles: ReadonlyMap<string, () => string> = new Map([
    ["codes.md", formatCodesPage],
    ["configuration.md", formatConfigurationPage],
    ["configuration.schema.json", formatSchema],
]);
