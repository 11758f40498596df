import { ProblemList } from "../problem_list.ts";
import type { DocumentReader } from "./document_reader.ts";
import { readYaml } from "./read_yaml.ts";
import type { SourceDocument } from "./source_document.ts";

/** Reads the whole of each text, with the positions of all values. */
export class FullDocumentReader implements DocumentReader {
    read(name: string, text: string): SourceDocument {
        const problems = new ProblemList(name, text);
        return { root: readYaml(text, problems), problems };
    }
}
