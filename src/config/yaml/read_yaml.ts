import type { ProblemList } from "../problem_list.ts";
import { BlockReader } from "./block_reader.ts";
import { readLibraryYaml } from "./read_library_yaml.ts";
import type { SourceNode } from "./source_node.ts";

/** Reads a YAML text into a tree with positions; undefined when the text is not YAML. */
export function readYaml(text: string, problems: ProblemList): SourceNode | undefined {
    return new BlockReader(text).read() ?? readLibraryYaml(text, problems);
}
