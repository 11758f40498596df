/** Destination of a command's output. */
export interface Output {
    /** Writes to standard output. */
    write(text: string): void;
    /** Writes to standard error. */
    writeError(text: string): void;
}
