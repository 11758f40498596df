import type { PartReference } from "./part_reference.ts";
import { configType } from "./table/config_type.ts";
import { readDocument } from "./yaml/read_document.ts";

/** The parts whose contents `parseConfiguration` needs; empty when the text cannot be parsed. */
export function listParts(source: string): readonly PartReference[] {
    // Spares a second parse of the usual configuration, which has no parts.
    if (!source.includes("parts")) {
        return [];
    }
    const { root, problems } = readDocument("", source);
    return (root && configType.parse(root, "", problems))?.parts ?? [];
}
