import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { buildService } from "../build_service.ts";
import { computeSha256 } from "../compute_sha256.ts";
import type { Configuration } from "../configuration.ts";
import type { Problem } from "../problem.ts";
import { ProblemList } from "../problem_list.ts";
import { checkRules } from "../rules/check_rules.ts";
import type { ServiceConfig } from "../service_config.ts";
import { configType } from "../table/config_type.ts";
import type { SourceNode } from "../yaml/source_node.ts";
import type { ConfigSection } from "./config_section.ts";
import { decodeSection } from "./decode_section.ts";
import type { ParsedConfig } from "./parsed_config.ts";

const servicePrefix = "services.";

/**
 * Checks sections and builds their configuration; the places of problems are fields without lines. A section
 * that `known` has under the same name and digest is taken from there, so that its content may be empty.
 */
export function mergeSections(
    sections: readonly ConfigSection[],
    known?: ParsedConfig,
): Result<ParsedConfig, readonly Problem[]> {
    const problems = new ProblemList("sections", "");
    const knownSections = new Map(known?.sections.map(section => [section.name, section]));
    const merged = new Map<string, ConfigSection>();
    const services = new Map<string, ServiceConfig | undefined>();
    const serviceNodes = new Map<string, SourceNode>();
    const rootNodes = new Map([["services", createNode(serviceNodes)]]);
    for (const section of sections) {
        const { name } = section;
        const knownSection = knownSections.get(name);
        const isKnown = knownSection?.digest === section.digest;
        if (merged.has(name)) {
            problems.add(Code.ConfigDuplicateName, 0, name, "the section appears twice");
        }
        merged.set(name, isKnown ? knownSection : section);
        const key = name.startsWith(servicePrefix) ? name.slice(servicePrefix.length) : undefined;
        const service = isKnown && key !== undefined ? known?.configuration.services.get(key) : undefined;
        const node = service === undefined ? readSection(merged.get(name)!, problems) : undefined;
        if (key !== undefined) {
            // Sets unknown services too, to keep the order of the sections.
            services.set(key, service);
        }
        if (node !== undefined) {
            (key === undefined ? rootNodes : serviceNodes).set(key ?? name, node);
        }
    }
    const root = createNode(rootNodes);
    const fields = configType.parse(root, "", problems);
    if (fields === undefined || !problems.isEmpty()) {
        return err(problems.list());
    }
    for (const [name, service] of fields.services) {
        services.set(name, buildService(name, service));
    }
    const configuration: Configuration = {
        team: fields.team,
        services: services as Map<string, ServiceConfig>,
    };
    checkRules(configuration, [{ root, problems }]);
    return problems.isEmpty() ? ok({ configuration, sections: [...merged.values()] }) : err(problems.list());
}

function readSection(section: ConfigSection, problems: ProblemList): SourceNode | undefined {
    const { name, digest, content } = section;
    if (computeSha256(content) !== digest) {
        problems.add(Code.ConfigBadValue, 0, name, "the content of the section has another digest");
        return undefined;
    }
    const node = decodeSection(content);
    if (node === undefined) {
        problems.add(Code.ConfigSyntax, 0, name, "the content of the section is not JSON");
    }
    return node;
}

function createNode(value: ReadonlyMap<string, SourceNode>): SourceNode {
    return { offset: 0, keyOffset: 0, value };
}
