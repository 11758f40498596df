import { err, ok, type Result } from "neverthrow";
import { buildService } from "./build_service.ts";
import type { Configuration } from "./configuration.ts";
import type { Problem } from "./problem.ts";
import { checkRules } from "./rules/check_rules.ts";
import { configType } from "./table/config_type.ts";
import type { DocumentReader } from "./yaml/document_reader.ts";

/** Parses and checks the text that `reader` reads; `name` of the file or published value is for messages. */
export function parseDocument(
    source: string,
    name: string,
    reader: DocumentReader,
): Result<Configuration, readonly Problem[]> {
    const document = reader.read(name, source);
    const { problems, root } = document;
    const fields = root && configType.parse(root, "", problems);
    if (fields === undefined) {
        return err(problems.list());
    }
    const services = [...fields.services].map(([service, values]) =>
        [service, buildService(service, values)] as const
    );
    const configuration: Configuration = { team: fields.team, services: new Map(services) };
    // Rules over incomplete services would report faults that are not there.
    if (problems.isEmpty()) {
        checkRules(configuration, document);
    }
    return problems.isEmpty() ? ok(configuration) : err(problems.list());
}
