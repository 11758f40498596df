import { ProblemList } from "../problem_list.ts";
import { readYaml } from "./read_yaml.ts";
import type { SourceDocument } from "./source_document.ts";

/** Reads a YAML text; `name` is the name of its file or published value, for messages. */
export function readDocument(name: string, text: string): SourceDocument {
    const problems = new ProblemList(name, text);
    return { root: readYaml(text, problems), problems };
}
