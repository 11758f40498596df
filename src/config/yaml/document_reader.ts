import type { SourceDocument } from "./source_document.ts";

/** Reads the texts of a configuration. */
export interface DocumentReader {
    /** `name` is the name of the text's file or published value, for messages. */
    read(name: string, text: string): SourceDocument;
}
