/**
 * Sections of the configuration, so that daemons transfer only the services that changed.
 *
 * @example
 * ```ts
 * const parsed = parseWithSections(text)._unsafeUnwrap();
 * const changes = compareSections(peerSections, parsed.sections);
 * const merged = mergeSections(applySectionChanges(peerSections, changes));
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import { parseDocuments } from "../parse_documents.ts";
import type { ParseOptions } from "../parse_options.ts";
import type { Problem } from "../problem.ts";
import { FullDocumentReader } from "../yaml/full_document_reader.ts";
import type { ParsedConfig } from "./parsed_config.ts";
import { splitIntoSections } from "./split_into_sections.ts";

/** Parses and checks a configuration, as `parseConfiguration` does, and splits it into sections. */
export function parseWithSections(
    source: string,
    options: ParseOptions = {},
): Result<ParsedConfig, readonly Problem[]> {
    return parseDocuments(source, options, new FullDocumentReader()).map(({ configuration, documents }) => ({
        configuration,
        sections: splitIntoSections(documents),
    }));
}
