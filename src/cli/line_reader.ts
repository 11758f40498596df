/** Reads text files line by line, so that a file may be larger than the memory. */
export interface LineReader {
    /** Lines of the file; `-` is standard input. Rejects when it cannot be read. */
    readLines(path: string): AsyncIterable<string>;
}
