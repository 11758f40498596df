/**
 * The operators' configuration: parsing, checks and the digest.
 *
 * @example
 * ```ts
 * const result = parseConfiguration(await readFile("safai.yaml", "utf8"));
 * if (result.isErr()) {
 *     for (const problem of result.error) {
 *         console.error(`${problem.line}:${problem.column} ${problem.field}: ${problem.message}`);
 *     }
 * }
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Configuration } from "./configuration.ts";
import { parseDocuments } from "./parse_documents.ts";
import type { ParseOptions } from "./parse_options.ts";
import type { Problem } from "./problem.ts";
import { FullDocumentReader } from "./yaml/full_document_reader.ts";

/** Parses and checks a configuration; the error lists every problem in the order of the text. */
export function parseConfiguration(
    source: string,
    options: ParseOptions = {},
): Result<Configuration, readonly Problem[]> {
    return parseDocuments(source, options, new FullDocumentReader()).map(({ configuration }) =>
        configuration
    );
}
