/** Destination of the text of a command. */
export interface Output {
    /** Writes to standard output. */
    write(text: string): void;
    /** Writes to standard error. */
    writeError(text: string): void;
}
