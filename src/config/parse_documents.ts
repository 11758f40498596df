import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { buildService } from "./build_service.ts";
import { computeSha256 } from "./compute_sha256.ts";
import type { Configuration } from "./configuration.ts";
import type { ParseOptions } from "./parse_options.ts";
import type { PartReference } from "./part_reference.ts";
import type { Problem } from "./problem.ts";
import { checkRules } from "./rules/check_rules.ts";
import type { ServiceFields } from "./service_fields.ts";
import { configType } from "./table/config_type.ts";
import { partFieldsType } from "./table/part_fields_type.ts";
import type { DocumentReader } from "./yaml/document_reader.ts";
import { findNode } from "./yaml/find_node.ts";
import type { SourceDocument } from "./yaml/source_document.ts";

interface CheckedDocuments {
    readonly configuration: Configuration;
    readonly documents: readonly SourceDocument[];
}

/** Parses and checks a configuration with its parts. */
export function parseDocuments(
    source: string,
    options: ParseOptions,
    reader: DocumentReader,
): Result<CheckedDocuments, readonly Problem[]> {
    const head = reader.read(options.name ?? "config", source);
    const documents = [head];
    const fields = head.root && configType.parse(head.root, "", head.problems);
    if (fields === undefined) {
        return err(head.problems.list());
    }
    const services = new Map(fields.services);
    for (const [index, part] of fields.parts.entries()) {
        const content = checkPart(head, index, part, options.parts?.get(part.name));
        if (content !== undefined) {
            const document = reader.read(part.name, content);
            documents.push(document);
            addServices(document, services);
        }
    }
    const configuration: Configuration = {
        team: fields.team,
        services: new Map([...services].map(([name, service]) => [name, buildService(name, service)])),
    };
    // Rules over incomplete services would report faults that are not there.
    if (documents.every(document => document.problems.isEmpty())) {
        checkRules(configuration, documents);
    }
    const problems = documents.flatMap(document => document.problems.list());
    return problems.length > 0 ? err(problems) : ok({ configuration, documents });
}

/** Returns the content when it is the one that the configuration names. */
function checkPart(
    head: SourceDocument,
    index: number,
    part: PartReference,
    content: string | undefined,
): string | undefined {
    const { offset } = findNode(head.root!, ["parts", index]).node;
    const field = `parts[${index}]`;
    if (content === undefined) {
        head.problems.add(Code.ConfigMissingField, offset, field, `part ${part.name} is not available`);
        return undefined;
    }
    const digest = computeSha256(content);
    if (digest !== part.digest) {
        head.problems.add(Code.ConfigBadValue, offset, field, `part ${part.name} has the digest ${digest}`);
        return undefined;
    }
    return content;
}

function addServices(document: SourceDocument, services: Map<string, ServiceFields>): void {
    const { root, problems } = document;
    const fields = root && partFieldsType.parse(root, "", problems);
    for (const [name, service] of fields?.services ?? []) {
        if (services.has(name)) {
            const { keyOffset } = findNode(root!, ["services", name]).node;
            problems.add(Code.ConfigDuplicateName, keyOffset, `services.${name}`, "is in another part too");
        }
        services.set(name, service);
    }
}
