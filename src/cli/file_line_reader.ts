import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { LineReader } from "./line_reader.ts";

/** Reads files of the local file system, and standard input as `-`. */
export class FileLineReader implements LineReader {
    readLines(path: string): AsyncIterable<string> {
        const input = path === "-" ? process.stdin : createReadStream(path);
        return createInterface({ input, crlfDelay: Infinity });
    }
}
