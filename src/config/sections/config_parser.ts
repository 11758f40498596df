import type { Result } from "neverthrow";
import { listParts } from "../list_parts.ts";
import { parseDocuments } from "../parse_documents.ts";
import type { ParseOptions } from "../parse_options.ts";
import type { PartReference } from "../part_reference.ts";
import type { Problem } from "../problem.ts";
import { ChangedDocumentReader } from "../yaml/changed_document_reader.ts";
import type { SourceBlock } from "../yaml/source_block.ts";
import { parseWithSections } from "./parse_with_sections.ts";
import type { ParsedConfig } from "./parsed_config.ts";
import { splitIntoSections } from "./split_into_sections.ts";

/**
 * Parses successive versions of the configuration with the results of `parseWithSections`, but reads and checks
 * only the services whose lines changed since the last valid version. Of a text that is not YAML, it reports the
 * first faulty entry only.
 */
export class ConfigParser {
    private blocks: ReadonlyMap<string, SourceBlock> = new Map();

    /** The parts whose contents `parse` needs. */
    listParts(source: string): readonly PartReference[] {
        return listParts(source, new ChangedDocumentReader(this.blocks));
    }

    parse(source: string, options: ParseOptions = {}): Result<ParsedConfig, readonly Problem[]> {
        const reader = new ChangedDocumentReader(this.blocks);
        const result = parseDocuments(source, options, reader);
        if (result.isErr() && !reader.hasPositions()) {
            // The second parse finds the lines and columns of the problems.
            return parseWithSections(source, options);
        }
        if (result.isOk()) {
            this.blocks = reader.getBlocks();
        }
        return result.map(({ configuration, documents }) => ({
            configuration,
            sections: splitIntoSections(documents),
        }));
    }
}
