import type { Configuration } from "../configuration.ts";
import { findNode } from "../yaml/find_node.ts";
import type { SourceDocument } from "../yaml/source_document.ts";
import { configRules } from "./config_rules.ts";
import type { Finding } from "./finding.ts";

/** Applies the rules and adds each fault to the problems of the document that contains it. */
export function checkRules(configuration: Configuration, documents: readonly SourceDocument[]): void {
    for (const rule of configRules) {
        for (const finding of rule.check(configuration)) {
            addProblem(finding, documents);
        }
    }
}

function addProblem(finding: Finding, documents: readonly SourceDocument[]): void {
    const { code, path, message } = finding;
    const places = documents.flatMap(({ root, problems }) =>
        root === undefined ? [] : [{ problems, ...findNode(root, path) }]
    );
    const { problems, node, depth } = places.reduce((best, place) => place.depth > best.depth ? place : best);
    // A value that the text leaves to its default has no place; the key of its parent stands for it.
    const offset = finding.atKey || depth < path.length ? node.keyOffset : node.offset;
    const field = path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("").slice(1);
    problems.add(code, offset, field, message);
}
