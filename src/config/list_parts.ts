import type { PartReference } from "./part_reference.ts";
import { configType } from "./table/config_type.ts";
import type { DocumentReader } from "./yaml/document_reader.ts";
import { FullDocumentReader } from "./yaml/full_document_reader.ts";

/** The parts whose contents `parseConfiguration` needs; empty when the text cannot be parsed. */
export function listParts(
    source: string,
    reader: DocumentReader = new FullDocumentReader(),
): readonly PartReference[] {
    // Spares the usual configuration, which has no parts, a second parse.
    if (!/parts["']?\s*:/.test(source)) {
        return [];
    }
    const { root, problems } = reader.read("", source);
    return (root && configType.parse(root, "", problems))?.parts ?? [];
}
