import type { Result } from "neverthrow";
import type { Configuration } from "./configuration.ts";
import { parseConfiguration } from "./parse_configuration.ts";
import { parseDocument } from "./parse_document.ts";
import type { Problem } from "./problem.ts";
import { ChangedDocumentReader } from "./yaml/changed_document_reader.ts";
import type { SourceBlock } from "./yaml/source_block.ts";

/**
 * Parses successive versions of the configuration with the results of `parseConfiguration`, but reads and checks
 * only the services whose lines changed since the last valid version, because each of 9,000 changes a day touches one
 * of 1,000 services. Of a text that is not YAML, it reports the first faulty entry only.
 */
export class ConfigParser {
    private blocks: ReadonlyMap<string, SourceBlock> = new Map();

    parse(source: string): Result<Configuration, readonly Problem[]> {
        const reader = new ChangedDocumentReader(this.blocks);
        const result = parseDocument(source, "config", reader);
        if (result.isErr() && !reader.hasPositions()) {
            // The second parse finds the lines and columns of the problems.
            return parseConfiguration(source);
        }
        if (result.isOk()) {
            this.blocks = reader.getBlocks();
        }
        return result;
    }
}
