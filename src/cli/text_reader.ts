import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";

/** Reads text files. */
export interface TextReader {
    /** Content of the file in UTF-8; the failure has code `FileUnreadable`. */
    read(path: string): Result<string, Failure>;
}
