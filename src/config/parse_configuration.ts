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
import { parseDocument } from "./parse_document.ts";
import type { Problem } from "./problem.ts";
import { FullDocumentReader } from "./yaml/full_document_reader.ts";

interface ParseOptions {
    /** Name of the file or published value, for messages. */
    readonly name?: string;
}

/** Parses and checks a configuration; the error lists every problem in the order of the text. */
export function parseConfiguration(
    source: string,
    options: ParseOptions = {},
): Result<Configuration, readonly Problem[]> {
    return parseDocument(source, options.name ?? "config", new FullDocumentReader());
}
