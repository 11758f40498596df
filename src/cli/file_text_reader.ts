import { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { TextReader } from "./text_reader.ts";

/** Reads files of the local file system, and standard input as `-`. */
export class FileTextReader implements TextReader {
    read(path: string): Result<string, Failure> {
        // Invalid UTF-8 is refused, because replacement characters would silently change names.
        const decode = (): string =>
            new TextDecoder("utf-8", { fatal: true }).decode(readFileSync(path === "-" ? 0 : path));
        return Result.fromThrowable(decode, (error: unknown) => {
            const detail = error instanceof Error ? error.message : String(error);
            return createFailure(Code.FileUnreadable, { detail });
        })();
    }
}
